package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/memory"
)

const (
	// dialTimeout limits the time to open a connection. A replica accepts within about 6 ms; one that lost power never
	// replies.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout limits the time to open a connection that checks whether a replica still runs after a connection to
	// it broke. The host of a replica that has exited refuses the connection within one round trip.
	probeTimeout = 50 * time.Millisecond
	// tcpUserTimeout is the time after which the kernel breaks a connection with unacknowledged data. It is the only
	// way to detect a host that lost power, or a device on the path that lost the connection's state.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval configure TCP keep-alive such that the kernel also breaks a dead idle
	// connection within tcpUserTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	// defaultIdle is the idle timeout of connections to replicas that announce none. idleMargin is subtracted from an
	// announced idle timeout: if a request crosses the replica's close, it is unknown whether it ran.
	defaultIdle = 4 * time.Second
	idleMargin  = time.Second
	// maxIdleForOnce is the longest idle time of a connection that is used for a request that must not run twice. A
	// replica, or a device on the path, may silently drop connections idle for a third of a second or more. A new
	// connection costs 1 ms.
	maxIdleForOnce = 250 * time.Millisecond
	// writeTimeout limits the time to write one request, for replicas that stop reading.
	writeTimeout = time.Second
	// MaxReplyBytes is the maximum size of a reply body, in bytes.
	MaxReplyBytes = 8 << 20
)

// Options configures a Pool.
type Options struct {
	Clock clock.Clock
	Addr  netip.AddrPort
	Codec *opaque.Codec
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Memory limits the memory of the replies; nil means no limit.
	Memory *memory.Budget
	// Opened wraps each new connection, for example to count its bytes; nil means no wrapping.
	Opened func(net.Conn) net.Conn
}

// Call is one request to one replica.
type Call struct {
	Request *opaque.Request
	// Replica is the ID of the only replica that may run the request.
	Replica string
	// Deadline is the time by which the replica must reply.
	Deadline time.Time
	// Guard is called right before the request is written. If it returns an error, nothing is sent.
	Guard func() error
	// Connections is the maximum number of connections to the replica.
	Connections int
	// Memory keeps the memory of a complete reply; nil means that it is not counted once the call has ended.
	Memory *memory.Reservation
	// Once marks a request that must not run twice. If the connection breaks, its outcome is unknown.
	Once bool
}

// Result is the outcome of a call.
type Result struct {
	Kind   upstream.Kind
	Detail string
	// Busy reports that nothing was sent because all connections were in use.
	Busy bool
	// Died reports that the connection broke and the replica refused a new one: it exited while running the request.
	Died bool
	// Reply, Status, Header and Body are set if the complete reply was received.
	Reply  opaque.Reply
	Status int
	Header map[string][]string
	Body   []byte
	// Conn is the number of the connection among those to the replica, and Nth the number of the request on it, both
	// from 1; they are zero if there was no connection.
	Conn uint64
	Nth  int
	// LateID is the id of the earlier request whose late reply was discarded before the outcome, empty if there was none.
	LateID string
	// Took is the time from the start of the write to the outcome.
	Took time.Duration
}

// Whole reports whether a complete reply to the request was received, including error replies.
func (r *Result) Whole() bool { return r.Status != 0 }

// Pool holds the connections to one replica.
//
// It replaces net/http.Transport, which retries a request when a reused connection breaks, needs the header with the
// remaining time before it has a connection, and takes a late second reply for the reply to the next request. Here a
// call writes its request once and computes the remaining time right before the write. Each connection is read by one
// goroutine, which closes it on any byte received without a request in flight.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle []*conn
	// all holds the open connections, including those in use.
	all map[*conn]bool
	// openCount counts the open connections and those being opened, dialed all attempts to open one so far, and
	// connsOpened those that succeeded.
	openCount   int
	dialed      uint64
	connsOpened uint64
	closed      bool
	// processExited is set once the replica's process is known to have exited.
	processExited bool
}

// New returns an empty pool.
func New(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	if opts.Opened == nil {
		opts.Opened = func(c net.Conn) net.Conn { return c }
	}
	return &Pool{opts: opts, all: map[*conn]bool{}}
}

// dialTCP opens a TCP connection that the kernel breaks if data or keep-alive probes stay unacknowledged.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int(tcpUserTimeout / keepAliveInterval)},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			ctl := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(ctl, err)
		},
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// HasFreeConn reports whether a connection is idle or can be opened without exceeding connLimit.
func (p *Pool) HasFreeConn(connLimit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || p.openCount < connLimit
}

// Dialed returns the total number of attempts to open a connection.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Close closes the idle connections. Those in use are closed when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Abort closes all connections, including those in use, because the replica's process has exited. Calls in flight fail
// at once, and not only when the kernel breaks the connections, up to tcpUserTimeout later if the host does not
// respond.
func (p *Pool) Abort() {
	p.mu.Lock()
	conns := make([]*conn, 0, len(p.all))
	for c := range p.all {
		conns = append(conns, c)
	}
	p.idle, p.closed, p.processExited = nil, true, true
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Do sends one request and returns its outcome. The end of ctx closes the connection, which signals the cancellation to
// the replica.
func (p *Pool) Do(ctx context.Context, call *Call) Result {
	reply, err := p.opts.Memory.Reserve(memory.Replica)
	if err != nil {
		return Result{Kind: upstream.KindNotSent, Detail: err.Error(), Busy: true}
	}
	res := p.do(ctx, call, reply)
	if res.Whole() {
		call.Memory.Adopt(reply)
	} else {
		reply.Release()
	}
	return res
}

func (p *Pool) do(ctx context.Context, call *Call, reply *memory.Reservation) Result {
	for {
		c, err := p.acquire(ctx, call)
		if err != nil {
			return Result{Kind: upstream.KindNotSent, Detail: err.Error(), Busy: errors.Is(err, errBusy)}
		}
		w := &pendingCall{done: make(chan Result, 1), id: call.Request.ID, method: call.Request.Method, memory: reply}
		if !c.expect(w) {
			// The replica closed the connection while it was idle. Nothing was sent.
			continue
		}
		reply.OnCut(func() { c.cutReply(w) })
		res := c.roundTrip(ctx, call, w)
		reply.OnCut(nil)
		if err := reply.Err(); err != nil {
			res = Result{Kind: upstream.KindError, Detail: err.Error(), Conn: res.Conn, Nth: res.Nth, Took: res.Took}
		}
		res.Died = res.Kind == upstream.KindBroken && p.refusesConnection(ctx, call)
		return res
	}
}

// refusesConnection reports whether the replica refuses a new connection. If it accepts, the connection is kept in the
// pool.
//
// A connection may break for many reasons, but only the exit of the replica suggests that the request crashed it. A new
// connection distinguishes the two within one round trip and replaces the broken one.
func (p *Pool) refusesConnection(ctx context.Context, call *Call) bool {
	if p.hasExited() || !p.reserve(call.Connections) {
		return false
	}
	c, err := p.dial(ctx, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if !p.putIdle(c, 0) {
		c.close()
	}
	return false
}

// hasExited reports whether the replica's process is known to have exited. This host then broke the connections itself.
func (p *Pool) hasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processExited
}

// errReplicaExited is returned if the replica exits before the request is sent.
var errReplicaExited = errors.New("the replica's process has ended")

// errBusy is returned if the maximum number of connections to the replica is in use.
var errBusy = errors.New("every connection to the replica is in use")

// acquire returns a connection that has not carried the request: an idle one, or a new one.
func (p *Pool) acquire(ctx context.Context, call *Call) (*conn, error) {
	c, closing := p.takeIdle(call)
	for _, old := range closing {
		old.close()
	}
	if c != nil {
		return c, nil
	}
	if !p.reserve(call.Connections) {
		return nil, errBusy
	}
	return p.dial(ctx, dialTimeout)
}

// takeIdle removes the most recently used idle connection that may carry the call, nil if there is none. It also
// removes the connections to close: those idle for too long and, if the call can't open another one, an idle one that
// has carried its request.
func (p *Pool) takeIdle(call *Call) (c *conn, closing []*conn) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := !now.Before(c.reusableUntil)
		if expired {
			closing = append(closing, c)
		}
		return expired
	})
	for i, c := range slices.Backward(p.idle) {
		switch {
		case c.sent.contains(call.Request.ID):
		case p.needsNewConn(call, c, now):
			return nil, closing
		default:
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, closing
		}
	}
	if p.openCount-len(closing) >= call.Connections && len(p.idle) > 0 {
		closing = append(closing, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil, closing
}

// reserve counts one more connection as open. It reports false if connLimit are already open.
func (p *Pool) reserve(connLimit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount >= connLimit {
		return false
	}
	p.openCount++
	p.dialed++
	return true
}

// dial opens a connection that reserve has counted.
func (p *Pool) dial(ctx context.Context, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.opts.Dial(ctx, p.opts.Addr)
	if err != nil {
		p.unreserve()
		return nil, fmt.Errorf("connect to %s: %w", p.opts.Addr, err)
	}
	c := &conn{netConn: p.opts.Opened(nc), pool: p}
	p.mu.Lock()
	p.connsOpened++
	c.number = p.connsOpened
	p.all[c] = true
	exited := p.processExited
	p.mu.Unlock()
	if exited {
		// The address may already belong to a new process, which is not the replica that the request is for.
		c.close()
		return nil, errReplicaExited
	}
	go c.readLoop()
	return c, nil
}

// needsNewConn reports whether the call needs a new connection because c, the most recently used one that it may use, has
// been idle for too long. The caller holds mu.
func (p *Pool) needsNewConn(call *Call, c *conn, now time.Time) bool {
	return call.Once && p.openCount < call.Connections && now.Sub(c.lastUsed) > maxIdleForOnce
}

// unreserve uncounts a connection that was closed or could not be opened.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// putIdle adds a connection to the idle ones for the replica's idle timeout, zero if unknown. It reports false if the
// connection can't be kept.
func (p *Pool) putIdle(c *conn, idleFor time.Duration) bool {
	idleTimeout := defaultIdle
	if idleFor > 0 {
		idleTimeout = idleFor - idleMargin
	}
	if idleTimeout <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.sent.full() {
		return false
	}
	c.lastUsed = p.opts.Clock.Now()
	c.reusableUntil = c.lastUsed.Add(idleTimeout)
	p.idle = append(p.idle, c)
	return true
}

// remove deletes a closed connection from the pool.
func (p *Pool) remove(c *conn) {
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
