// Command world plays the platform, the servers and the clients of a small installation beside real hosts of this
// repository, and checks one rule of the users' pages.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const beat = 1200 * time.Millisecond

// world is one installation.
type world struct {
	start    time.Time
	trouble  bool
	dir      string
	store    *store
	hosts    []*host
	replicas []*replica
	// crashes reports whether a request with this body crashes the replica that begins to run it, for downFor.
	crashes func(body string) bool
	downFor time.Duration

	mu       sync.Mutex
	record   *bufio.Writer
	arrivals []*arrival
	// sentAt holds when each request was sent, by its id.
	sentAt map[string]time.Time
}

// host is one machine with one process of the deploy file.
type host struct {
	name, zone, ip                 string
	front, ready, control, resolve string
	settings                       string
	cmd                            *exec.Cmd
	client                         *http.Client
	done                           chan struct{}
}

// settings are the figures of an installation that the cases choose.
type settings struct {
	// bounds holds further bounds, as lines of the settings file.
	bounds string
	zones  []string
	hosts  int
}

func newWorld(recordDir string, s settings) (_ *world, err error) {
	f, err := os.Create(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "world")
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = os.RemoveAll(dir)
		}
	}()
	w := &world{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: bufio.NewWriter(f), sentAt: map[string]time.Time{}}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	// Each host has a loopback address of its own.
	net2 := 16 + rand.IntN(200)
	var seeds []string
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.end()
		os.Exit(failed)
	}()
	for i := range s.hosts {
		h := &host{name: fmt.Sprintf("front-%d", i+1), zone: s.zones[i%len(s.zones)], ip: fmt.Sprintf("127.%d.%d.%d", net2, 1+rand.IntN(200), i+1)}
		ports, err := freePorts(h.ip, 4)
		if err != nil {
			return nil, err
		}
		at := func(n int) string { return net.JoinHostPort(h.ip, strconv.Itoa(ports[n])) }
		h.front, h.ready, h.control, h.resolve = at(0), at(1), at(2), at(3)
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
		h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.settings = filepath.Join(dir, h.name+".toml")
		if err := os.WriteFile(h.settings, []byte(h.text(s, seeds, w.store.addr)), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// text returns the settings file of a host.
func (h *host) text(s settings, seeds []string, store string) string {
	var zones []string
	for _, z := range s.zones {
		zones = append(zones, z+` = "perth"`)
	}
	return fill(file("settings.toml"), "NODE", h.name, "IP", h.ip, "ALLZONES", strings.Join(zones, "\n"), "ZONE", h.zone, "SEEDS", `"`+strings.Join(seeds, `","`)+`"`,
		"FRONT", h.front, "READY", h.ready, "CONTROL", h.control, "DIRECTORY", h.resolve, "STORE", store) + "\n" + s.bounds
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

func (w *world) began(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.ran = true
}

// startHost starts the process of a host with the command of the deploy file, in the repository's root.
func (w *world) startHost(h *host) error {
	words := strings.Fields(os.Getenv("RUN"))
	if len(words) == 0 {
		return errors.New("RUN is empty")
	}
	out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, name("settings") + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done = cmd, make(chan struct{})
	w.log("%s (%s) started", h.name, h.front)
	done := h.done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (h *host) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// isReady reports whether the host answers its readiness check with 200.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all hosts and waits until they are ready.
func (w *world) startAll() error {
	for _, h := range w.hosts {
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(w.hosts) {
			w.log("all %d hosts are ready", n)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d hosts are ready", n, len(w.hosts))
		}
	}
}

// end stops all processes and closes the record.
func (w *world) end() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.running() {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

// call is one client attempt.
type call struct {
	method, name, path, key, body string
	deadline                      time.Duration
}

// reply is what the client saw; status is zero for a connection that ended without an answer.
type reply struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// send sends one client attempt to a host.
func (w *world) send(h *host, c call) reply {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.front+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return reply{id: id, err: err}
	}
	req.Host = c.name
	req.Header.Set(name("request_id"), id)
	req.Header.Set(name("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("Authorization", "Token "+c.key)
	}
	began := time.Now()
	w.mu.Lock()
	w.sentAt[id] = began
	w.mu.Unlock()
	rep := reply{id: id}
	if resp, err := h.client.Do(req); err != nil {
		rep.err = err
	} else {
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		rep.status, rep.body, rep.header, rep.err = resp.StatusCode, string(b), resp.Header, err
	}
	rep.took = time.Since(began)
	w.log("request %s sent at %.3f to %s (%s %s %s), answered %d", id, began.Sub(w.start).Seconds(), h.name, c.method, c.path, c.key, rep.status)
	return rep
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world CASE DIR")
		os.Exit(failed)
	}
	run, ok := map[string]func(dir string) (int, error){"poison": poison, "quota": quota, "popular": popular, "killed": killed}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	code, err := run(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}
