package sessions

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs are built once with the race detector, which ends a process that races with exit status 66.
var programs = []string{"entry", "gsctl", "standin", "load"}

var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sessions")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, p := range programs {
		cmd := exec.CommandContext(context.Background(), "go", "build", "-race", "-o", dir+string(os.PathSeparator), ".")
		cmd.Dir = filepath.Join("..", p)
		if out, err := cmd.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, out)
			return 1
		}
	}
	return m.Run()
}

func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("GORACE", "halt_on_error=1")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":  ports,
			"post":   post,
			"until":  until,
			"golden": golden,
		},
		RequireExplicitExec: true,
	})
}

// ports N NAME finds N ports in a row that are free and sets NAME to the first address.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: ports N NAME")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range 100 {
		if addr, ok := freeBlock(n); ok {
			ts.Setenv(args[1], addr)
			return
		}
	}
	ts.Fatalf("found no %d free ports in a row", n)
}

// freeBlock holds all the ports open while it looks, so that no other session is given one of them.
func freeBlock(n int) (string, bool) {
	var lc net.ListenConfig
	first, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", false
	}
	defer first.Close()
	base := first.Addr().(*net.TCPAddr).Port
	for i := 1; i < n; i++ {
		l, err := lc.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
		if err != nil {
			return "", false
		}
		defer l.Close()
	}
	return first.Addr().String(), true
}

// post URL BODY [HEADER] sends a request and keeps the status and the reply as standard output of the script.
func post(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: post URL BODY [HEADER:VALUE]...")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+args[0], strings.NewReader(args[1]))
	ts.Check(err)
	for _, h := range args[2:] {
		k, v, _ := strings.Cut(h, ":")
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if (resp.StatusCode != http.StatusOK) != neg {
		ts.Fatalf("status %d: %s", resp.StatusCode, b)
	}
	fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", resp.StatusCode, b)
}

const (
	untilLimit = 30 * time.Second
	untilPause = 20 * time.Millisecond
)

// until PATTERN PROGRAM ARGS... runs a program again and again until what it prints matches.
func until(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: until PATTERN PROGRAM ARGS...")
	}
	want := regexp.MustCompile(args[0])
	var last string
	for end := time.Now().Add(untilLimit); time.Now().Before(end); time.Sleep(untilPause) {
		_ = ts.Exec(args[1], args[2:]...)
		last = ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if want.MatchString(last) {
			return
		}
	}
	ts.Fatalf("%s did not print %q in %v; last was:\n%s", args[1], args[0], untilLimit, last)
}

var varying = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`\b[A-Z2-7]{8,}-[A-Z2-7]{26}\b`), "EXPLANATION"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "ID"},
	{regexp.MustCompile(` *\d+\.\d+ ms`), " TIME"},
}

// golden FILE compares what was printed last with FILE, with addresses, identifiers and times put into words.
func golden(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: golden FILE")
	}
	got := ts.ReadFile("stdout")
	for _, v := range varying {
		got = v.pattern.ReplaceAllString(got, v.name)
	}
	want := ts.ReadFile(args[0])
	if !bytes.Equal([]byte(got), []byte(want)) {
		ts.Fatalf("printed:\n%s\nwant, as in %s:\n%s", got, args[0], want)
	}
}
