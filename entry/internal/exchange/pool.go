package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
)

const (
	// dialTimeout bounds the wait for a new connection: a replica accepts within about 6 ms, and one that has lost
	// power never answers.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout bounds the wait for the connection that tells whether a replica lives whose connection broke; one
	// that has ended refuses it within a round trip.
	probeTimeout = 50 * time.Millisecond
	// unacknowledged is how long sent bytes may stay without an acknowledgement before the kernel breaks the
	// connection. A host that lost power, or a path that has forgotten the connection, shows no other sign.
	unacknowledged = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery let an unused connection that fell silent break within unacknowledged too.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	// defaultIdle is how long an unused connection is kept where the replica does not say; idleMargin is taken off what
	// it says, since a request that crosses the replica's close is lost without a sign of whether it ran.
	defaultIdle = 4 * time.Second
	idleMargin  = time.Second
	// freshFor is how long a connection may have been unused before it carries a request that must not run twice. A
	// replica, or something on the way, may have forgotten it without a sign, from a third of a second on; a new
	// connection costs 1 ms.
	freshFor = 250 * time.Millisecond
	// writeTimeout bounds the sending of one request to a replica that does not read.
	writeTimeout = time.Second
	// MaxReply is the most bytes of one reply that are read.
	MaxReply = 8 << 20
)

// Options configures a Pool.
type Options struct {
	Clock clock.Clock
	Addr  netip.AddrPort
	Codec *opaque.Codec
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Opened returns what is used in place of a new connection, such as one that counts its bytes; nil means the
	// connection itself.
	Opened func(net.Conn) net.Conn
}

// Call is one request to be sent to one replica.
type Call struct {
	Request *opaque.Request
	// Replica is the id of the replica that alone may run the request.
	Replica string
	// Deadline is when the replica has to give up.
	Deadline time.Time
	// Guard is asked right before the first byte leaves; an error keeps the request from being sent.
	Guard func() error
	// Connections bounds the connections to the replica.
	Connections int
	// Once says that the request must not run twice, so that a connection that breaks under it leaves its outcome
	// unknown.
	Once bool
}

// Result says how a call ended.
type Result struct {
	Kind   upstream.Kind
	Detail string
	// Busy says that nothing was sent for want of a connection.
	Busy bool
	// Died says that the connection broke and that the replica takes no new one: it ended under the request.
	Died bool
	// Reply, Status, Header and Body are set where a whole reply to the request came.
	Reply  opaque.Reply
	Status int
	Header map[string][]string
	Body   []byte
	// Took is the time from the first byte sent to the end.
	Took time.Duration
}

// Whole reports whether the replica's reply is complete and its own, a failure included.
func (r *Result) Whole() bool { return r.Status != 0 }

// Pool holds the connections to one replica.
//
// net/http's transport is not used: it resends a request by itself when a kept connection breaks, it hands a request to
// a connection before the deadline that it carries is known to hold, and it takes a late second reply for the reply to
// the next request. Here a call writes once, last of all its deadline, and each connection is read by one goroutine
// that closes it on any byte that no request waits for.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle []*conn
	// all holds the open connections, those in use included.
	all    map[*conn]bool
	open   int
	dialed uint64
	closed bool
	// ended says that the replica's process is known to be gone.
	ended bool
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	if opts.Opened == nil {
		opts.Opened = func(c net.Conn) net.Conn { return c }
	}
	return &Pool{opts: opts, all: map[*conn]bool{}}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: int(unacknowledged / keepAliveEvery)},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			ctl := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			return errors.Join(ctl, err)
		},
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Free reports whether a call could have one of most connections now.
func (p *Pool) Free(most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.open < most
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes the unused connections; those in use are closed as their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// End closes all connections, those in use included: the process at their other end is known to be gone. What was sent
// on them breaks now rather than once the kernel finds out, which takes unacknowledged where nothing answers any more.
func (p *Pool) End() {
	p.mu.Lock()
	conns := make([]*conn, 0, len(p.all))
	for c := range p.all {
		conns = append(conns, c)
	}
	p.idle, p.closed, p.ended = nil, true, true
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Do sends one request and returns its reply; the end of ctx closes the connection, which is how the replica learns of
// it.
func (p *Pool) Do(ctx context.Context, call *Call) Result {
	for {
		c, err := p.take(ctx, call)
		if err != nil {
			return Result{Kind: upstream.KindNotSent, Detail: err.Error(), Busy: errors.Is(err, errBusy)}
		}
		w := &waiting{done: make(chan Result, 1), id: call.Request.ID, method: call.Request.Method}
		if !c.begin(w) {
			// The replica closed it while it was unused, and nothing was sent.
			continue
		}
		res := c.run(ctx, call, w)
		res.Died = res.Kind == upstream.KindBroken && p.refuses(ctx, call)
		return res
	}
}

// refuses reports whether the replica takes no new connection, and keeps the one that it got otherwise.
//
// A connection breaks for many reasons, of which the end of the replica is one. Only that one accuses the request that
// it ran. A new connection tells them apart within a round trip, and takes the place of the one that is lost.
func (p *Pool) refuses(ctx context.Context, call *Call) bool {
	if p.gone() || !p.reserve(call.Connections) {
		return false
	}
	c, err := p.dial(ctx, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if !p.put(c, 0) {
		c.close()
	}
	return false
}

// gone reports whether the replica's process is known to have ended: what broke then was cut by this host.
func (p *Pool) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// errEnded is why a request was not sent whose replica has ended meanwhile.
var errEnded = errors.New("the replica's process has ended")

// errBusy is why a request was not sent whose replica allows no further connection.
var errBusy = errors.New("every connection to the replica is in use")

// take returns an unused connection, or opens one.
func (p *Pool) take(ctx context.Context, call *Call) (*conn, error) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	for len(p.idle) > 0 && !p.mustDial(call, now) {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.until) {
			p.mu.Unlock()
			return c, nil
		}
		p.mu.Unlock()
		c.close()
		p.mu.Lock()
	}
	p.mu.Unlock()
	if !p.reserve(call.Connections) {
		return nil, errBusy
	}
	return p.dial(ctx, dialTimeout)
}

// reserve takes the place of one more connection, unless there are most already.
func (p *Pool) reserve(most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= most {
		return false
	}
	p.open++
	p.dialed++
	return true
}

// dial opens a connection whose place is reserved.
func (p *Pool) dial(ctx context.Context, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.opts.Dial(ctx, p.opts.Addr)
	if err != nil {
		p.forget()
		return nil, fmt.Errorf("connect to %s: %w", p.opts.Addr, err)
	}
	c := &conn{tcp: p.opts.Opened(nc), pool: p}
	p.mu.Lock()
	p.all[c] = true
	ended := p.ended
	p.mu.Unlock()
	if ended {
		// The address may belong to the next process already, which is not the one that the request was meant for.
		c.close()
		return nil, errEnded
	}
	go c.read()
	return c, nil
}

// mustDial reports whether the call needs a new connection though there is one that is unused, the last of which was
// used last.
func (p *Pool) mustDial(call *Call, now time.Time) bool {
	last := p.idle[len(p.idle)-1]
	return call.Once && p.open < call.Connections && now.Sub(last.since) > freshFor
}

func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put keeps a connection for the next call.
func (p *Pool) put(c *conn, idleFor time.Duration) bool {
	keep := defaultIdle
	if idleFor > 0 {
		keep = idleFor - idleMargin
	}
	if keep <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	c.since = p.opts.Clock.Now()
	c.until = c.since.Add(keep)
	p.idle = append(p.idle, c)
	return true
}

// drop removes a connection that is closed.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}
