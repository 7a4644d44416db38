// Command standin plays clients, replicas and the platform around the project's own processes, for one case of the
// review. It exits with 1 where the rule was broken, 0 where it held, and 2 where the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "stop, extra or garbage")
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	broken, err := play(*name, *root, *out, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(name, root, out string, trouble bool) (bool, error) {
	c, ok := cases[name]
	if !ok {
		return false, fmt.Errorf("no case %q", name)
	}
	rec, err := newRecord(out)
	if err != nil {
		return false, err
	}
	defer rec.close()
	w, err := newWorld(root, rec, c.setup)
	if w != nil {
		defer w.end()
	}
	if err != nil {
		return false, err
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-sig
		w.end()
		os.Exit(2)
	}()
	if err = w.served(); err != nil {
		return false, err
	}
	return c.play(w, trouble)
}

// setup says how large a world is.
type setup struct {
	hosts, replicas, slots int
	work                   func() time.Duration
	clients                int
	mean, deadline         time.Duration
}

// world is a small deployment.
type world struct {
	setup
	rec      *record
	dir      string
	hosts    []*host
	replicas []*replica
	store    *store
	ledger   *ledger
	attempts attempts

	once    sync.Once
	done    chan struct{}
	clients sync.WaitGroup
}

var zones = []string{"osborne-hall", "picton-shed", "webberton-room"}

// network returns the first three numbers of loopback addresses on which the metrics port, which is the same on every
// machine, is free.
func network(hosts int, port int) (string, error) {
	for n := range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+n*7)%200, 1+(os.Getpid()/200+n*13)%250)
		free := true
		for i := 1; i <= hosts && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i, port))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// deployed returns the run command of the deploy file, and the port of the metrics.
func deployed(root string) (command []string, port int, err error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, 0, err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			command = strings.Fields(value)
		case "metrics":
			_, err = fmt.Sscanf(value, "%d/", &port)
		}
	}
	if len(command) == 0 {
		err = errors.New("the deploy file has no run command")
	}
	return command, port, err
}

func newWorld(root string, rec *record, s setup) (*world, error) {
	w := &world{setup: s, rec: rec, store: newStore(), ledger: &ledger{runs: map[string][]*run{}}, done: make(chan struct{})}
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	command, port, err := deployed(root)
	if err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	prefix, err := network(s.hosts, port)
	if err != nil {
		return w, err
	}
	l, err := net.Listen("tcp", prefix+"100:0")
	if err != nil {
		return w, err
	}
	go func() { _ = http.Serve(l, w.store) }()
	for i := range s.replicas {
		r, err := newReplica(fmt.Sprintf("i-%02d", i), "kafi81c", zones[i%len(zones)], fmt.Sprintf("%s%d", prefix, 120+i), s.slots, s.work, rec, w.ledger)
		if err != nil {
			return w, err
		}
		w.replicas = append(w.replicas, r)
		w.store.put("servers", r.id, r.entry())
	}
	w.store.put("config", "main", manifest(s))
	go w.beat()
	return w, w.startHosts(root, prefix, command, l.Addr().String())
}

// manifest has one route of requests that must not run twice.
func manifest(s setup) string {
	return form("manifest.json", map[string]any{"Host": host1, "Path": path, "TimeoutMS": s.deadline.Milliseconds(), "IdleMS": idleFor.Milliseconds()})
}

// beat lets each replica write its entry again and again.
func (w *world) beat() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(1200 * time.Millisecond):
			for _, r := range w.replicas {
				w.store.put("servers", r.id, r.entry())
			}
		}
	}
}

func (w *world) startHosts(root, prefix string, command []string, storeAddr string) error {
	var ports [4]int
	for i := range ports {
		p, err := freePort(prefix + "1")
		if err != nil {
			return err
		}
		ports[i] = p
	}
	var seeds []string
	for i := range w.setup.hosts {
		h := &host{
			name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", prefix, i+1), zone: zones[i%len(zones)], root: root, command: command, rec: w.rec,
			front: ports[0], readiness: ports[1], directory: ports[2], control: ports[3],
			boot: filepath.Join(w.dir, fmt.Sprintf("local-%d.toml", i+1)), log: filepath.Join(w.dir, fmt.Sprintf("host-%d.log", i+1)),
		}
		w.hosts = append(w.hosts, h)
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.ip, h.control))
	}
	for _, h := range w.hosts {
		if err := os.WriteFile(h.boot, []byte(h.settings(zones, seeds, storeAddr)), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// served waits until every host is ready.
func (w *world) served() error {
	end := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				log, _ := os.ReadFile(h.log)
				return fmt.Errorf("%s is not ready after 15 s: %s", h.name, log)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The machines are in touch once they have run for stabilityWindowMs.
	time.Sleep(5 * time.Second)
	return nil
}

func (h *host) ready() bool {
	hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, h.readiness))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// load starts the clients, a third of which keep their addresses three times as long as they are told.
func (w *world) load() {
	var directories []string
	for _, h := range w.hosts {
		directories = append(directories, fmt.Sprintf("%s:%d", h.ip, h.directory))
	}
	for i := range w.setup.clients {
		c := &client{
			name: fmt.Sprintf("c%02d", i), directories: directories, patience: 1, deadline: w.deadline, rec: w.rec, out: &w.attempts, failed: map[string]bool{},
		}
		if i%3 == 0 {
			c.patience = 3
		}
		w.clients.Go(func() { c.loop(w.done, w.mean) })
	}
}

// rest ends the clients and waits for what is under way.
func (w *world) rest() {
	w.once.Do(func() { close(w.done) })
	w.clients.Wait()
	time.Sleep(time.Second)
}

// end ends every process that the world started.
func (w *world) end() {
	w.once.Do(func() { close(w.done) })
	for _, h := range w.hosts {
		h.close()
	}
	for _, r := range w.replicas {
		_ = r.l.Close()
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// hostAt returns the host whose front address is addr.
func (w *world) hostAt(addr string) *host {
	for _, h := range w.hosts {
		if addr == fmt.Sprintf("%s:%d", h.ip, h.front) {
			return h
		}
	}
	return nil
}
