package sessions

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs are built once with the race detector, which ends a process with exit status 66 on a data race.
var programs = []string{"entry", "gsctl", "standin", "load"}

var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
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

// TestSessions runs each script in testdata against the built programs.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("GORACE", "halt_on_error=1 atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":  ports,
			"get":    get,
			"post":   sendCommand(http.MethodPost),
			"put":    sendCommand(http.MethodPut),
			"until":  until,
			"grab":   grab,
			"golden": golden,
			"signal": signal,
		},
		RequireExplicitExec: true,
	})
}

// ports N NAME finds N consecutive free ports and sets NAME to the first address, NAME_1 to the second and so on.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: ports N NAME")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range 100 {
		addr, ok := freeBlock(n)
		if !ok {
			continue
		}
		ts.Setenv(args[1], addr.String())
		for i := 1; i < n; i++ {
			ts.Setenv(fmt.Sprintf("%s_%d", args[1], i), netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(i)).String())
		}
		return
	}
	ts.Fatalf("found no %d consecutive free ports", n)
}

// The ports lie below the ephemeral range, so that no outgoing connection takes a port between the search and its use.
const (
	lowestPort  = 10000
	highestPort = 32000
)

// nextPort is the first port of the next block. Sessions run in parallel and bind their block some time after they get
// it, so blocks never overlap: another session could otherwise take a port in between.
var nextPort atomic.Int32

func init() { nextPort.Store(lowestPort + rand.Int32N((highestPort-lowestPort)/2)) }

// freeBlock returns the next block of n ports if all of them are free.
func freeBlock(n int) (netip.AddrPort, bool) {
	var lc net.ListenConfig
	base := int(nextPort.Add(int32(n))) - n
	for i := range n {
		l, err := lc.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
		if err != nil {
			return netip.AddrPort{}, false
		}
		defer l.Close()
	}
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(base)), true
}

// sendCommand returns the command URL BODY [HEADER:VALUE]..., which sends a request and prints the status and the
// response.
func sendCommand(method string) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < 2 {
			ts.Fatalf("usage: post or put URL BODY [HEADER:VALUE]...")
		}
		status, reply, err := send(method, args[0], args[1], args[2:])
		ts.Check(err)
		if (status != http.StatusOK) != neg {
			ts.Fatalf("status %d: %s", status, reply)
		}
		fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", status, reply)
	}
}

// get URL prints the response to a GET request.
func get(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: get URL")
	}
	status, reply, err := send(http.MethodGet, args[0], "", nil)
	ts.Check(err)
	if (status != http.StatusOK) != neg {
		ts.Fatalf("status %d: %s", status, reply)
	}
	fmt.Fprintln(ts.Stdout(), reply)
}

// send sends a request to url, which has no scheme, and returns the status and body of the response.
func send(method, url, body string, headers []string) (status int, reply string, err error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for _, h := range headers {
		k, v, _ := strings.Cut(h, ":")
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

const (
	untilTimeout  = 30 * time.Second
	untilInterval = 20 * time.Millisecond
)

// until PATTERN PROGRAM ARGS... runs a program repeatedly until its output matches PATTERN. The program "get" sends a
// GET request to a URL instead.
func until(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: until PATTERN PROGRAM ARGS...")
	}
	want := regexp.MustCompile(args[0])
	var last string
	for end := time.Now().Add(untilTimeout); time.Now().Before(end); time.Sleep(untilInterval) {
		last = output(ts, args[1], args[2:])
		if want.MatchString(last) {
			return
		}
	}
	ts.Fatalf("%s did not print %q within %v; last output:\n%s", args[1], args[0], untilTimeout, last)
}

// output returns what a program prints, or the response and error of a GET request.
func output(ts *testscript.TestScript, program string, args []string) string {
	if program == "get" {
		_, reply, err := send(http.MethodGet, args[0], "", nil)
		return fmt.Sprint(reply, err)
	}
	// The error is ignored: a program may fail until the awaited state is reached, and only its output is matched.
	_ = ts.Exec(program, args...)
	return ts.ReadFile("stdout") + ts.ReadFile("stderr")
}

// signals are the signals that scripts may send in addition to those of the kill command.
var signals = map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signal STOP|CONT ARGUMENT pauses or resumes the background program that was started with ARGUMENT.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal STOP|CONT ARGUMENT")
	}
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, args[1]) {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background program was started with argument %q", args[1])
}

// grab NAME PATTERN sets NAME to the match of the pattern's group in the last output.
func grab(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: grab NAME PATTERN")
	}
	out := ts.ReadFile("stdout")
	m := regexp.MustCompile(args[1]).FindStringSubmatch(out)
	if len(m) != 2 {
		ts.Fatalf("%q does not match with one group in:\n%s", args[1], out)
	}
	ts.Setenv(args[0], m[1])
}

// replacements lists the parts of the output that differ between runs, with the names that replace them.
var replacements = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`\b[A-Z2-7]{8,}-[A-Z2-7]{26}\b`), "EXPLANATION"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "ID"},
	{regexp.MustCompile(` *\d+\.\d+ ms`), " TIME"},
}

// golden FILE compares the last output with FILE after it replaces addresses, identifiers and times by names.
func golden(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: golden FILE")
	}
	got := ts.ReadFile("stdout")
	for _, v := range replacements {
		got = v.pattern.ReplaceAllString(got, v.name)
	}
	want := ts.ReadFile(args[0])
	if !bytes.Equal([]byte(got), []byte(want)) {
		ts.Fatalf("printed:\n%s\nwant, as in %s:\n%s", got, args[0], want)
	}
}
