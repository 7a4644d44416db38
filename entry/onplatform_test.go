package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/event"
	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/settings"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session plays clients, the operator and the replicas against two hosts, and writes down what the clients see.
type session struct {
	t     *testing.T
	store *platformtest.Store
	out   strings.Builder
	addrs []string
	next  int

	mu   sync.Mutex
	runs map[string]int
}

// replica starts a replica that answers each request with records of its own, registers it, and returns its address.
func (s *session) replica(id, service, records string) string {
	return s.replicaIn("osborne-hall", id, service, records)
}

// replicaIn starts a replica in an availability zone.
func (s *session) replicaIn(zone, id, service, records string) string {
	l, err := listen(s.t, "127.0.0.1:0")
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(c, id, records)
		}
	}()
	s.store.Set("servers", id, platformtest.ReplicaIn(zone, service, l.Addr().String(), "ready"))
	return l.Addr().String()
}

func (s *session) answer(c net.Conn, id, records string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		seen := platformtest.ReadRequestHeader(r)
		if seen.Replica != id {
			_, _ = c.Write(platformtest.Misdirected(seen.ID))
			continue
		}
		s.mu.Lock()
		s.runs[seen.ID]++
		s.mu.Unlock()
		if _, err := c.Write(platformtest.Reply(http.StatusOK, seen.ID, id, []byte(records))); err != nil {
			return
		}
	}
}

func (s *session) say(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// host runs one host and returns how to stop it.
func (s *session) host(name, ip string, first int, seeds string) (stop func()) {
	path := filepath.Join(s.t.TempDir(), name+".toml")
	text := platformtest.Settings(name, ip, "osborne-hall", s.addrs[0], first, seeds)
	qt.Assert(s.t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	cfg, err := settings.Read(path)
	qt.Assert(s.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- runOnPlatform(ctx, path, cfg, event.NewLogger(io.Discard), func() uint64 { return 0 })
	}()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			qt.Check(s.t, <-done, qt.IsNil)
		})
	}
	s.t.Cleanup(stop)
	s.until(name+" is ready", func() bool { return s.get(fmt.Sprintf("%s:%d", ip, first+1), platformtest.ReadyPath) == http.StatusOK })
	s.say("%s is ready", name)
	return stop
}

func (s *session) get(addr, path string) int {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+addr+path, nil)
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// until waits for what other goroutines bring about.
func (s *session) until(what string, f func() bool) {
	end := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// resolve asks a host for the addresses to use.
func (s *session) resolve(directory string) []string {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+directory+platformtest.ResolvePath("osborne-hall"), nil)
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(s.t, err, qt.IsNil)
	defer resp.Body.Close()
	var ans struct{ Addrs []string }
	qt.Assert(s.t, json.NewDecoder(resp.Body).Decode(&ans), qt.IsNil)
	slices.Sort(ans.Addrs)
	return ans.Addrs
}

// call sends one attempt and returns the status and what the client sees.
func (s *session) call(addr, method, path, body string) (int, string) {
	s.next++
	id := fmt.Sprintf("q%d", s.next)
	r, err := platformtest.Request(s.t.Context(), method, addr, path, id, 2000, []byte(body))
	qt.Assert(s.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(s.t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(s.t, err, qt.IsNil)
	stamps, missing := platformtest.Parts(resp.Header)
	names := strings.Split(stamps, ", ")
	slices.Sort(names)
	s.mu.Lock()
	defer s.mu.Unlock()
	return resp.StatusCode, fmt.Sprintf("%d parts=%v missing=%s retry_after=%q runs=%d body=%q", resp.StatusCode, names, missing, resp.Header.Get("Retry-After"), s.runs[id], strings.TrimSpace(string(b)))
}

func (s *session) show(what, addr, method, path, body string) {
	_, line := s.call(addr, method, path, body)
	s.say("%s: %s", what, line)
}

// A whole session: two hosts start from the store, answer a query over three shards and a write, follow a changed
// configuration, name a shard whose replica leaves as missing, refuse truly what can't run, and one of them stops
// without cutting off a client.
func TestSessionOnPlatform(t *testing.T) {
	s := &session{t: t, store: platformtest.NewStore(), runs: map[string]int{}}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addrs = []string{srv.Listener.Addr().String()}
	const record = "%s_______________"
	for i, shard := range []string{"s1", "s2", "s3"} {
		s.replica(fmt.Sprintf("i-%d", i+1), shard, fmt.Sprintf(record, string(rune('a'+i)))+fmt.Sprintf(record, string(rune('p'+i)))+"rest")
	}
	s.replica("i-9", "desk", "recorded")
	s.store.Set("config", "main", platformtest.Config(3, `"s1","s2"`, "desk"))

	const one, two = "127.0.0.11", "127.0.0.12"
	ports := freePorts(t, one, two)
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", one, ports+3))
	s.host("host-1", one, ports, seeds)
	stop := s.host("host-2", two, ports, seeds)
	front := func(ip string) string { return fmt.Sprintf("%s:%d", ip, ports) }
	directory := fmt.Sprintf("%s:%d", one, ports+2)
	s.until("both hosts are told", func() bool { return len(s.resolve(directory)) == 2 })
	s.say("clients are told %d hosts", len(s.resolve(directory)))

	s.show("query", front(one), http.MethodGet, "/bundles/blue?q=1", "")
	s.show("write", front(two), http.MethodPost, "/desk/drop", "three bags")
	s.show("unknown path", front(one), http.MethodGet, "/elsewhere/", "")

	s.store.Set("config", "main", platformtest.Config(7, `"s1","s2","s3"`, "none"))
	s.until("version 7 is in force on both", func() bool {
		_, a := s.call(front(one), http.MethodGet, "/bundles/blue", "")
		_, b := s.call(front(two), http.MethodGet, "/bundles/blue", "")
		return strings.Contains(a, "i-3") && strings.Contains(b, "i-3")
	})
	s.show("query of version 7", front(two), http.MethodGet, "/bundles/blue", "")
	s.show("write to a service without replicas", front(two), http.MethodPost, "/desk/drop", "three bags")

	s.store.Delete("servers", "i-3")
	s.until("the replica is not used on both", func() bool {
		_, a := s.call(front(one), http.MethodGet, "/bundles/blue", "")
		_, b := s.call(front(two), http.MethodGet, "/bundles/blue", "")
		return !strings.Contains(a, "i-3") && !strings.Contains(b, "i-3")
	})
	s.show("query without a replica of s3", front(one), http.MethodGet, "/bundles/blue", "")

	failed := make(chan string, 1)
	stopped := make(chan struct{})
	go func() {
		// A client that keeps its connection while the host stops sees only whole answers, until the port is closed.
		for {
			select {
			case <-stopped:
				failed <- ""
				return
			default:
			}
			status, line := s.call(front(one), http.MethodGet, "/bundles/blue", "")
			if status != http.StatusOK {
				failed <- line
				return
			}
		}
	}()
	stop()
	close(stopped)
	s.say("answers cut off while a host stopped: %q", <-failed)
	s.until("the host that stopped is not told", func() bool { return len(s.resolve(directory)) == 1 })
	s.say("clients are told %d host", len(s.resolve(directory)))

	s.compare("testdata/platform_session.txt")
}

// Another program writes nonsense beside the replicas' entries and then over one of them, and over the configuration.
// Clients get whole pages all the while, but for the shard whose only entry can't be read, which is named as missing
// until it is good again. At last a replica starts again under its id and address, and is used as the new one that it
// is.
func TestSessionWithForgedEntries(t *testing.T) {
	s := &session{t: t, store: platformtest.NewStore(), runs: map[string]int{}}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addrs = []string{srv.Listener.Addr().String()}
	for i := range 200 {
		s.store.SetRaw("servers", fmt.Sprintf("a-forged-%03d", i), fmt.Sprintf(`{"meta":{"name":"a-forged-%03d","rev":$rev},"spec":{"service":"s1"}}`, i))
	}
	addrs := map[string]string{}
	for _, n := range []string{"1", "2", "3"} {
		addrs[n] = s.replica("i-"+n, "s"+n, n+"_______________")
	}
	s.store.SetRaw("servers", "z-nameless", `{"meta":{"name":17,"rev":$rev},"spec":null}`)
	s.store.Set("config", "main", platformtest.Config(3, `"s1","s2","s3"`, "desk"))

	const ip = "127.0.0.13"
	first := freePorts(t, ip)
	s.host("host-1", ip, first, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, first+3)))
	front := fmt.Sprintf("%s:%d", ip, first)
	ask := func() string {
		_, line := s.call(front, http.MethodGet, "/bundles/blue", "")
		return line
	}
	s.show("query beside forged entries", front, http.MethodGet, "/bundles/blue", "")

	s.store.SetRaw("servers", "i-2", `{"meta":{"name":"i-2","rev":$rev},"spec":"\ufffd\ufffd"}`)
	// A page may lack another shard for the load of the machine, before the entry is known.
	s.until("the entry that can't be read is not used", func() bool { return strings.Contains(ask(), "parts=[i-1 i-3] missing=1") })
	s.show("query while an entry can't be read", front, http.MethodGet, "/bundles/blue", "")
	s.store.Set("servers", "i-2", platformtest.Replica("s2", addrs["2"], "ready"))
	s.until("the entry is good again", func() bool { return strings.Contains(ask(), "missing=0") })

	s.store.SetRaw("config", "main", `{"meta":{"name":"main","rev":$rev},"spec":{"version":"eight"}}`)
	s.store.Set("servers", "i-3", platformtest.Replica("s3", addrs["3"], "draining"))
	s.until("what comes after the nonsense is known", func() bool { return strings.Contains(ask(), "parts=[i-1 i-2] missing=1") })
	s.show("query under the last good configuration", front, http.MethodGet, "/bundles/blue", "")

	s.store.Set("servers", "i-3", platformtest.ReplicaStarted("s3", addrs["3"], "ready", time.Now().UnixMilli(), 1))
	s.until("the replica that started again is used", func() bool { return strings.Contains(ask(), "missing=0") })
	s.show("query after a replica started again", front, http.MethodGet, "/bundles/blue", "")
	s.compare("testdata/platform_forged.txt")
}

// An operator evacuates the zone of two replicas, and a host starts while that holds and the store is away. No request
// reaches the zone at either host; a page goes out without the shard that is only there, and a write to a service that
// is only there is refused as not run. Once the zone is released, whole pages go out again.
func TestSessionWithEvacuation(t *testing.T) {
	s := &session{t: t, store: platformtest.NewStore(), runs: map[string]int{}}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addrs = []string{srv.Listener.Addr().String()}
	s.replica("i-1", "s1", "1_______________")
	s.replicaIn("picton-shed", "i-2", "s2", "2_______________")
	s.replica("i-3", "s3", "3_______________")
	s.replicaIn("picton-shed", "i-4", "desk", "recorded")
	s.store.Set("config", "main", platformtest.Config(3, `"s1","s2","s3"`, "desk"))

	const one, two = "127.0.0.14", "127.0.0.15"
	ports := freePorts(t, one, two)
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", one, ports+3))
	s.host("host-1", one, ports, seeds)
	front := func(ip string) string { return fmt.Sprintf("%s:%d", ip, ports) }
	serves := func(ip, page string) bool {
		_, line := s.call(front(ip), http.MethodGet, "/bundles/blue", "")
		return strings.Contains(line, page)
	}
	const spared, whole = "parts=[i-1 i-3] missing=1", "missing=0"
	s.show("query", front(one), http.MethodGet, "/bundles/blue", "")
	s.store.Set("evacuations", "elsewhere", `{}`)
	s.store.Set("evacuations", "picton-shed", `{}`)
	s.until("the zone is left alone", func() bool { return serves(one, spared) })
	s.show("query while the zone is evacuated", front(one), http.MethodGet, "/bundles/blue", "")
	s.show("write to a service that is only there", front(one), http.MethodPost, "/desk/drop", "three bags")

	s.store.Fail(http.StatusServiceUnavailable)
	s.host("host-2", two, ports, seeds)
	s.show("query at a host that started in it, without the store", front(two), http.MethodGet, "/bundles/blue", "")
	s.store.Fail(0)

	s.store.Delete("evacuations", "picton-shed")
	s.until("the zone is used again at both", func() bool { return serves(one, whole) && serves(two, whole) })
	s.show("query after the zone was released", front(two), http.MethodGet, "/bundles/blue", "")
	s.show("write after it", front(one), http.MethodPost, "/desk/drop", "three bags")
	s.compare("testdata/platform_evacuation.txt")
}

// compare holds what clients saw against a golden file.
func (s *session) compare(golden string) {
	if *update {
		qt.Assert(s.t, os.WriteFile(golden, []byte(s.out.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, s.out.String(), qt.Equals, string(want))
}

func listen(t *testing.T, addr string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(t.Context(), "tcp", addr)
}

// freePorts returns the first of four ports that are free on each IP number.
func freePorts(t *testing.T, ips ...string) int {
	for first := 21000; first < 32000; first += 4 {
		var open []net.Listener
		free := true
		for _, ip := range ips {
			for i := range 4 {
				l, err := listen(t, fmt.Sprintf("%s:%d", ip, first+i))
				if err != nil {
					free = false
					break
				}
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	t.Fatal("no four free ports")
	return 0
}
