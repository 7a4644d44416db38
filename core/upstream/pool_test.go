package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedReplica is a fake replica that closes each connection above its limit. A connection counts until the replica
// has closed it, which it does after it has finished a canceled request.
type limitedReplica struct {
	l    net.Listener
	most int
	cost time.Duration
	work func(id string)

	mu      sync.Mutex
	open    int
	peak    int
	refused int
}

func newLimitedReplica(tb testing.TB, most int, cost time.Duration, work func(id string)) *limitedReplica {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	p := &limitedReplica{l: l, most: most, cost: cost, work: work}
	tb.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *limitedReplica) addr() netip.AddrPort { return netip.MustParseAddrPort(p.l.Addr().String()) }

func (p *limitedReplica) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.open++
		p.peak = max(p.peak, p.open)
		over := p.open > p.most
		if over {
			p.refused++
		}
		p.mu.Unlock()
		go p.serveConn(c, over)
	}
}

func (p *limitedReplica) serveConn(c net.Conn, over bool) {
	defer c.Close()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
	}()
	if over {
		return
	}
	time.Sleep(p.cost)
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(HeaderRequest)
		p.work(id)
		if !replyOK(c, id) {
			return
		}
	}
}

func (p *limitedReplica) counts() (peak, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak, p.refused
}

// sendWrites sends n writes from the given number of concurrent callers, cancels write i after cancelAfter(i) unless
// that is negative, and returns the number of writes that succeeded.
func sendWrites(ctx context.Context, c *Client, addr netip.AddrPort, callers, n int, cancelAfter func(i int) time.Duration) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ok, next := 0, 0
	take := func() int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next
	}
	for range callers {
		wg.Go(func() {
			for i := take(); i <= n; i = take() {
				ctx, cancel := context.WithCancel(ctx)
				if d := cancelAfter(i); d >= 0 {
					time.AfterFunc(d, cancel)
				}
				res := c.Write(ctx, addr, fmt.Sprint(i), []byte("{}"))
				cancel()
				mu.Lock()
				if res.Kind == KindOK {
					ok++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ok
}

// Hedging cancels attempts often, and each cancellation closes a connection. The replica counts the connection until it
// has finished the request. If the host dials the next one before that, the replica is over its limit and closes new
// connections at once, and queries of other hosts on this replica fail too.
func TestSeatsStayUnderTheLimitThroughCancels(t *testing.T) {
	const most = 4
	p := newLimitedReplica(t, most, 0, func(string) { time.Sleep(2 * time.Millisecond) })
	c := newTestClient(t, Options{MaxConns: most})
	ok := sendWrites(t.Context(), c, p.addr(), 16, 600, func(i int) time.Duration {
		if i%2 == 0 {
			return time.Duration(i%5) * 500 * time.Microsecond
		}
		return -1
	})
	peak, refused := p.counts()
	qt.Assert(t, refused, qt.Equals, 0, qt.Commentf("peak %d of %d", peak, most))
	qt.Assert(t, c.Stats().Peak <= most, qt.IsTrue)
	qt.Assert(t, ok >= 300, qt.IsTrue, qt.Commentf("%d of the 300 writes that were not canceled succeeded", ok))
}

// A replica over its limit closes every connection as soon as it accepts it. A host that redials in a loop takes
// connections that other hosts need and wastes CPU time of the replica.
func TestRefusedConnectionsAreNotDialledInALoop(t *testing.T) {
	p := newLimitedReplica(t, 0, 0, func(string) {})
	c := newTestClient(t, Options{MaxConns: 4})
	for i := range 500 {
		res := c.Write(t.Context(), p.addr(), fmt.Sprint(i), []byte("{}"))
		qt.Assert(t, res.Kind == KindNotSent || res.Kind == KindBroken, qt.IsTrue)
	}
	_, refused := p.counts()
	qt.Assert(t, refused <= 100, qt.IsTrue, qt.Commentf("%d connections were refused", refused))
}

// BenchmarkDialAhead simulates hedging: 5 connections, 6 ms for a new connection, one in ten attempts canceled. It
// reports the share of requests that had to dial, with and without dialing in advance.
func BenchmarkDialAhead(b *testing.B) {
	for _, cold := range []bool{true, false} {
		b.Run(fmt.Sprintf("cold=%t", cold), func(b *testing.B) {
			p := newLimitedReplica(b, 5, 6*time.Millisecond, func(string) { time.Sleep(5 * time.Millisecond) })
			c, err := New(Options{MaxConns: 5, dialOnDemand: cold})
			qt.Assert(b, err, qt.IsNil)
			defer c.Close()
			sendWrites(b.Context(), c, p.addr(), 4, b.N, func(i int) time.Duration {
				if i%10 == 0 {
					return 3 * time.Millisecond
				}
				return -1
			})
			st := c.Stats()
			_, refused := p.counts()
			b.ReportMetric(100*float64(st.Dialed)/float64(b.N), "%dialled")
			b.ReportMetric(100*float64(st.Ready)/float64(b.N), "%ready")
			b.ReportMetric(float64(refused), "refused")
		})
	}
}

// Operators lower upstream.connections because another system shares the replicas. A host that kept its old limit until
// its next restart would take the connections of the other system for weeks. After the limit is raised again, the host
// must use it.
func TestSeatsFollowTheDocument(t *testing.T) {
	const many, few = 6, 2
	p := newLimitedReplica(t, many, 0, func(string) {})
	c := newTestClient(t, Options{MaxConns: many})
	never := func(int) time.Duration { return -1 }
	sendWrites(t.Context(), c, p.addr(), 16, 200, never)
	p.waitForConns(t, many)
	for _, most := range []int{few, many, few} {
		qt.Assert(t, c.SetMaxConns(most), qt.IsNil)
		p.waitForConns(t, most)
		ok := sendWrites(t.Context(), c, p.addr(), 16, 200, never)
		qt.Assert(t, ok, qt.Equals, 200)
		p.waitForConns(t, most)
		peak, refused := p.counts()
		qt.Assert(t, peak, qt.Equals, most)
		qt.Assert(t, refused, qt.Equals, 0)
	}
}

// waitForConns waits until the replica has exactly n connections and resets its peak to n.
func (p *limitedReplica) waitForConns(tb testing.TB, n int) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		if p.open == n {
			p.peak = p.open
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
	}
	tb.Fatalf("the replica never had exactly %d connections", n)
}
