package docfile

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An editor may leave any content in the first line. The base version must be read as written or rejected: with a wrong
// base version the edit would overwrite a concurrent one.
func FuzzSplitBase(f *testing.F) {
	for _, seed := range []string{"", "# base_version: 3\nservice: x\n", "# base_version: -1\n", "# base_version: 3 4\n", "service: x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		base, text, err := splitBase(b)
		if err != nil || base == 0 {
			return
		}
		again, same, err := splitBase(Format(base, text))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, base)
		qt.Assert(t, string(same), qt.Equals, string(text))
	})
}

// Errors of Read must name the file and the invalid value, so that the operator can correct it.
func TestReadSaysWhatIsWrong(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"# base_version: three\nservice: donor-desk\n", `.*d.yaml: base_version: "three": not a version; want a whole number.*`},
		{"# base_version: -1\nservice: donor-desk\n", `.*d.yaml: base_version: "-1": not a version.*`},
		{"service: Donor\n", `.*d.yaml: service: .*`},
	} {
		path := filepath.Join(t.TempDir(), "d.yaml")
		qt.Assert(t, os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
		_, err := Read(path)
		qt.Assert(t, err, qt.ErrorMatches, test.want)
	}
}
