package replicatest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/platform/platformtest"
)

// Answer is what a replica does with one request.
type Answer struct {
	// After is how long it works.
	After time.Duration
	// Raw is written as it is; where it is empty the connection breaks without a reply.
	Raw []byte
	// Late is written on the same connection LateAfter the reply.
	Late      []byte
	LateAfter time.Duration
	// NotRun says that the request did not run, and Silent that nothing ever comes.
	NotRun, Silent bool
	// Close ends the connection after the reply.
	Close bool
	// CrashFor takes the replica down after the work instead of a reply: all its connections break, and new ones are
	// refused for so long.
	CrashFor time.Duration
}

// Replica is one replica that answers as Handle says.
type Replica struct {
	Row    platform.Replica
	Handle func(r *http.Request, body []byte) Answer

	mu       sync.Mutex
	runs     []string
	arrivals int
	crashes  int
	// downUntil is when a replica that crashed accepts connections again, conns holds those that are open.
	downUntil time.Time
	conns     map[net.Conn]bool
}

// Runs returns the ids of the requests that ran, in order.
func (r *Replica) Runs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs...)
}

// Arrivals returns how many requests came, those that did not run included.
func (r *Replica) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// TurnedAway returns how many requests came that did not run.
func (r *Replica) TurnedAway() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals - len(r.runs)
}

// Crashes returns how often the replica went down.
func (r *Replica) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

func (r *Replica) crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	r.downUntil = time.Now().Add(down)
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// open takes a new connection, unless the replica is down.
func (r *Replica) open(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.downUntil) {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Replica) closed(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// Farm holds replicas by address.
type Farm struct {
	mu       sync.Mutex
	replicas map[netip.AddrPort]*Replica
	dark     map[netip.AddrPort]bool
	dials    int
	conns    []net.Conn
	// DialTime is how long a new connection takes.
	DialTime time.Duration
}

// New returns a farm without replicas.
func New() *Farm {
	return &Farm{replicas: map[netip.AddrPort]*Replica{}, dark: map[netip.AddrPort]bool{}}
}

// Add adds replica n of a service, which answers as handle says.
func (f *Farm) Add(service string, n int, handle func(r *http.Request, body []byte) Answer) *Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(f.replicas) + 1)}), 80)
	r := &Replica{Row: platform.Replica{ID: fmt.Sprintf("%s-%d", service, n), Service: service, Addr: addr, Zone: "a", State: platform.StateLive, Slots: 5}, Handle: handle, conns: map[net.Conn]bool{}}
	f.replicas[addr] = r
	return r
}

// Dark makes the replica's address silent: connections to it hang.
func (f *Farm) Dark(r *Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark[r.Row.Addr] = true
}

// Dials returns how many connections were opened.
func (f *Farm) Dials() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials
}

// Close ends all connections.
func (f *Farm) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// Batch returns the list of all replicas.
func (f *Farm) Batch() feed.Batch[platform.Replica] {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := feed.Batch[platform.Replica]{Revision: 1}
	for _, r := range f.replicas {
		b.Entries = append(b.Entries, feed.Entry[platform.Replica]{Name: r.Row.ID, Revision: 1, Value: r.Row})
	}
	return b
}

// Dial opens a connection to the replica at addr.
func (f *Farm) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	r, dark := f.replicas[addr], f.dark[addr]
	f.dials++
	f.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(f.DialTime)
	here, there := net.Pipe()
	if r == nil || !r.open(there) {
		return nil, syscall.ECONNREFUSED
	}
	f.mu.Lock()
	f.conns = append(f.conns, there)
	f.mu.Unlock()
	go r.serve(there)
	return here, nil
}

func (r *Replica) serve(c net.Conn) {
	defer r.closed(c)
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := r.Handle(req, body)
		r.note(req, a)
		time.Sleep(a.After)
		if a.CrashFor > 0 {
			r.crash(a.CrashFor)
			return
		}
		if a.Silent {
			// The connection stays open and says nothing more.
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if _, err := c.Write(a.Raw); err != nil || len(a.Raw) == 0 || a.Close {
			return
		}
		if len(a.Late) > 0 {
			time.Sleep(a.LateAfter)
			if _, err := c.Write(a.Late); err != nil {
				return
			}
		}
	}
}

func (r *Replica) note(req *http.Request, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	if !a.NotRun {
		r.runs = append(r.runs, platformtest.Read(req).ID)
	}
}

// OK answers with a body after some time; the stamp names the replica and the request.
func OK(name string, after time.Duration, body string) func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		id := platformtest.Read(req).ID
		return Answer{After: after, Raw: platformtest.Reply(http.StatusOK, id, name+"."+id, []byte(body))}
	}
}

// Broken runs the request and loses the answer.
func Broken(after time.Duration) func(*http.Request, []byte) Answer {
	return func(*http.Request, []byte) Answer { return Answer{After: after} }
}

// Crash takes the replica down after some time of work.
func Crash(after, down time.Duration) func(*http.Request, []byte) Answer {
	return func(*http.Request, []byte) Answer { return Answer{After: after, CrashFor: down} }
}

// Full refuses each request without running it.
func Full() func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		return Answer{NotRun: true, Raw: platformtest.NotRun(platformtest.Read(req).ID)}
	}
}

// Misdirected answers that another replica has the address.
func Misdirected() func(*http.Request, []byte) Answer {
	return func(req *http.Request, _ []byte) Answer {
		return Answer{NotRun: true, Raw: platformtest.Misdirected(platformtest.Read(req).ID)}
	}
}
