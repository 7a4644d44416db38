package sessions

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testNamePattern    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	sessionNamePattern = regexp.MustCompile(`session (\w+) in sessions|TestSessions/(\w+)`)
	declarationPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
)

// TestProofsAreThere guards against a merge that drops a test or session: all checks stay green while docs/PROOFS.md
// still names it. Each test and session on the page must exist, and each session must be on the page.
func TestProofsAreThere(t *testing.T) {
	b, err := os.ReadFile("../docs/PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	existing := testNames(t)
	for _, name := range testNamePattern.FindAllString(page, -1) {
		if !existing[name] {
			t.Errorf("docs/PROOFS.md names the test %s, which does not exist in the repository", name)
		}
	}
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	sessions := map[string]bool{}
	for _, f := range files {
		sessions[strings.TrimSuffix(filepath.Base(f), ".txtar")] = false
	}
	for _, m := range sessionNamePattern.FindAllStringSubmatch(page, -1) {
		name := m[1] + m[2]
		if _, ok := sessions[name]; !ok {
			t.Errorf("docs/PROOFS.md names the session %s, which does not exist in testdata", name)
		}
		sessions[name] = true
	}
	for name, named := range sessions {
		if !named {
			t.Errorf("the session %s is not named in docs/PROOFS.md", name)
		}
	}
}

// testNames returns the names of all tests, fuzz targets and benchmarks in the repository.
func testNames(t *testing.T) map[string]bool {
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range declarationPattern.FindAllStringSubmatch(string(b), -1) {
			names[m[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
