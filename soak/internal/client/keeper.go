package client

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
	"slices"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/platform/platformtest"
	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/proxy"
	"guavaspring.org/soak/internal/world"
)

// Habit is how a Keeper uses its connections.
type Habit string

// The habits.
const (
	// Keeps sends many requests on a connection, with short pauses.
	Keeps Habit = "keeps"
	// Clings keeps to one host until its port is closed.
	Clings Habit = "clings"
	// OpensAhead opens connections and sends the first request on them seconds later.
	OpensAhead Habit = "opens_ahead"
	// Idles reuses connections after long pauses.
	Idles Habit = "idles"
	// ReadsSlowly reads large answers slowly.
	ReadsSlowly Habit = "reads_slowly"
	// Delayed has a link with a delay.
	Delayed Habit = "delayed"
	// Aims has idle and unused connections, and sends at the moment at which the host closes them.
	Aims Habit = "aims"
	// Hesitates sends some requests in two pieces.
	Hesitates Habit = "hesitates"
)

// Habits holds all habits; common ones stand there more than once.
var Habits = [...]Habit{Keeps, Clings, Keeps, OpensAhead, Idles, Clings, ReadsSlowly, Aims, Hesitates, Delayed}

const (
	// dialTimeout is how long a client waits for a connection.
	dialTimeout = time.Second
	// maxAhead is the longest time from opening a connection ahead to its first request.
	maxAhead = 6 * time.Second
	// maxIdle is the longest pause of a client that idles.
	maxIdle = 6 * time.Second
	// maxHesitation is the longest pause between the two pieces of a request.
	maxHesitation = 300 * time.Millisecond
	// slowBlock bytes are read at a time by a client that reads slowly, with a pause of slowPause before each.
	slowBlock, slowPause = 8 << 10, 150 * time.Millisecond
	// receiveBuffer is the size of the receive buffer of a client that reads slowly.
	receiveBuffer = 8 << 10
	// aimedConns is the number of connections of a client that aims.
	aimedConns = 12
	// closeAfter is the time from the signal to stop to the moment from which the host closes idle connections, within
	// closeWithin.
	closeAfter, closeWithin = 4790 * time.Millisecond, 130 * time.Millisecond
	// aimInterval is the interval at which a client that aims checks whether its host is stopping.
	aimInterval = 20 * time.Millisecond
	// idleSpread is the longest time by which a client misses the idle timeout that it aims at.
	idleSpread = 3 * time.Millisecond
	// maxPause is the longest usual pause between two requests on a connection.
	maxPause = 60 * time.Millisecond
)

// Kind is a kind of request of a Keeper.
type Kind struct {
	Route, Method string
	// Gathered means that the response consists of parts.
	Gathered bool
	// Patience is the deadline that the client sends, and Timeout the route's timeout.
	Patience, Timeout time.Duration
	share             float64
}

// Kinds holds all kinds of requests.
var Kinds = [...]Kind{
	{Route: world.LongService, Method: http.MethodGet, Patience: world.LongTimeout, Timeout: world.LongTimeout, share: 0.5},
	{Route: world.LongWrites, Method: http.MethodPost, Patience: world.LongTimeout, Timeout: world.LongTimeout, share: 0.2},
	{Route: "bundles", Method: http.MethodGet, Gathered: true, Patience: Patience, Timeout: 2 * time.Second, share: 0.2},
	{Route: "desk", Method: http.MethodPost, Patience: Patience, Timeout: 4 * time.Second, share: 0.1},
}

// Keeper is a client that keeps its connections and sends nothing again by itself.
type Keeper struct {
	*Client
	habit Habit
	// idleTimeout is the limit for idle connections in the configuration.
	idleTimeout time.Duration
	rand        *rand.Rand
	// links are the links with a delay to the hosts, by the address for requests.
	links map[string]*proxy.Proxy
	// clung is the host that a client that clings uses.
	clung *hosts.Host
}

// conn is an open connection to a host.
type conn struct {
	net.Conn
	br          *bufio.Reader
	host        *hosts.Host
	incarnation int
	// used is the number of responses received.
	used int
	// answered is the time of the last response.
	answered time.Time
}

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	// Number is the number of the client, whose choices follow from it and from Seed.
	Number int
	Seed   uint64
	// Habit is the client's habit; empty means that it follows from the number.
	Habit Habit
	Hosts []*hosts.Host
	// Links are the links with a delay to the hosts, by the address for requests.
	Links map[string]*proxy.Proxy
	// IdleTimeout is the limit for idle connections in the configuration.
	IdleTimeout time.Duration
	// Report is called after each attempt; it must be safe for concurrent use.
	Report func(Attempt)
}

// NewKeeper returns a client.
func NewKeeper(o KeeperOptions) *Keeper {
	if o.Habit == "" {
		o.Habit = Habits[o.Number%len(Habits)]
	}
	return &Keeper{
		Client: New(o.Number, o.Hosts, o.Report), habit: o.Habit, rand: rand.New(rand.NewPCG(o.Seed, uint64(o.Number))),
		links: o.Links, clung: o.Hosts[o.Number%len(o.Hosts)], idleTimeout: o.IdleTimeout,
	}
}

// Run sends requests until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c := k.connect(ctx)
		switch {
		case c == nil:
			time.Sleep(pause)
		case k.habit == Aims:
			k.aim(ctx, c)
		default:
			k.use(ctx, c)
		}
	}
}

// aim opens more connections to the host of c. Half of them have been used. It sends a request on each around the moment at
// which the host closes it: when it stops, or when the connection has been idle for too long.
func (k *Keeper) aim(ctx context.Context, first *conn) {
	list := []*conn{first}
	for len(list) < aimedConns {
		if c := k.connect(ctx); c != nil {
			list = append(list, c)
			continue
		}
		break
	}
	idleSince, short := time.Now(), &Kinds[len(Kinds)-1]
	for i, c := range list {
		if i%2 == 0 && !k.transmit(c, k.draw(c, short)) {
			break
		}
	}
	atIdle := k.rand.IntN(2) == 0
	for ctx.Err() == nil && process(first).First(syscall.SIGTERM).IsZero() && time.Since(idleSince) < k.idleTimeout-time.Second {
		time.Sleep(aimInterval)
	}
	at := idleSince.Add(k.idleTimeout - idleSpread)
	within := 2 * idleSpread
	if term := process(first).First(syscall.SIGTERM); !term.IsZero() {
		at, within = term.Add(closeAfter), closeWithin
	} else if !atIdle {
		at = time.Now()
	}
	var all sync.WaitGroup
	for _, c := range list {
		a, wait := k.draw(c, k.kind()), time.Until(at)+k.upTo(within)
		if !c.answered.IsZero() && within == 2*idleSpread {
			wait += c.answered.Sub(idleSince)
		}
		all.Go(func() {
			defer c.Close()
			time.Sleep(wait)
			k.transmit(c, a)
		})
	}
	all.Wait()
}

// process returns the process of a host that a connection leads to.
func process(c *conn) *hosts.Process {
	list := c.host.Processes()
	if c.incarnation < 1 || c.incarnation > len(list) {
		return &hosts.Process{}
	}
	return &list[c.incarnation-1]
}

// connect opens a connection, nil if that fails.
func (k *Keeper) connect(ctx context.Context) *conn {
	h := k.pick(ctx)
	if h == nil {
		return nil
	}
	addr := h.Front()
	if k.habit == Delayed {
		addr = k.links[addr].Addr()
	}
	incarnation, _ := h.State()
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		k.addrs = slices.DeleteFunc(k.addrs, func(a string) bool { return a == h.Front() })
		return nil
	}
	if tcp, ok := nc.(*net.TCPConn); ok && k.habit == ReadsSlowly {
		// The size is only a wish, and the client reads slowly with any.
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	return &conn{Conn: nc, br: bufio.NewReader(nc), host: h, incarnation: incarnation}
}

func (k *Keeper) pick(ctx context.Context) *hosts.Host {
	if k.habit == Clings || k.habit == Aims {
		return k.clung
	}
	if time.Now().After(k.addrsExpire) || len(k.addrs) == 0 {
		k.resolve(ctx)
	}
	if len(k.addrs) == 0 {
		return nil
	}
	return k.host(k.addrs[k.rand.IntN(len(k.addrs))])
}

// use sends requests on a connection until it can't be used any longer.
func (k *Keeper) use(ctx context.Context, c *conn) {
	defer c.Close()
	if k.habit == OpensAhead {
		time.Sleep(k.upTo(maxAhead))
	}
	for ctx.Err() == nil && k.send(c) && !k.outdated(ctx, c) {
		time.Sleep(k.pauseTime())
	}
}

func (k *Keeper) upTo(d time.Duration) time.Duration { return time.Duration(k.rand.Int64N(int64(d))) }

func (k *Keeper) pauseTime() time.Duration {
	if k.habit == Idles {
		return k.upTo(maxIdle)
	}
	return k.upTo(maxPause)
}

// outdated reports whether the client was directed to other hosts.
func (k *Keeper) outdated(ctx context.Context, c *conn) bool {
	if k.habit == Clings || time.Now().Before(k.addrsExpire) {
		return false
	}
	k.resolve(ctx)
	return len(k.addrs) > 0 && !slices.Contains(k.addrs, c.host.Front())
}

func (k *Keeper) kind() *Kind {
	x := k.rand.Float64()
	for i := range Kinds {
		if x -= Kinds[i].share; x < 0 {
			return &Kinds[i]
		}
	}
	return &Kinds[0]
}

// send sends one request, reports it and reports whether the connection can be used again.
func (k *Keeper) send(c *conn) bool {
	kind := k.kind()
	if k.habit == ReadsSlowly {
		kind = &Kinds[0]
	}
	return k.transmit(c, k.draw(c, kind))
}

// draw returns the next request, with all that is random about it.
func (k *Keeper) draw(c *conn, kind *Kind) *Attempt {
	k.n++
	id := fmt.Sprintf("%s-%s-%d", kind.Route, k.name, k.n)
	if k.habit == ReadsSlowly {
		id = world.LargePrefix + id
	}
	a := &Attempt{ID: id, Write: kind.Method == http.MethodPost, Host: c.host, Incarnation: c.incarnation, Kind: kind, Habit: k.habit}
	if k.habit == Hesitates {
		a.hesitation, a.split = k.upTo(maxHesitation), k.rand.Float64()
	}
	return a
}

// transmit sends a request, reports it and reports whether the connection can be used again.
func (k *Keeper) transmit(c *conn, a *Attempt) bool {
	a.Sent, a.Kept = time.Now(), c.used > 0
	again := k.exchange(c, a)
	a.Done = time.Now()
	a.EndIncarnation, _ = c.host.State()
	k.report(*a)
	return again
}

func (k *Keeper) exchange(c *conn, a *Attempt) (again bool) {
	var body []byte
	if a.Write {
		body = []byte("three bags")
	}
	req, err := platformtest.Request(context.Background(), a.Kind.Method, a.Host.Front(), "/"+a.Kind.Route+"/x", a.ID, int(a.Kind.Patience.Milliseconds()), body)
	if err != nil {
		a.Err = err
		return false
	}
	var text bytes.Buffer
	a.Err = errors.Join(req.Write(&text), c.SetDeadline(time.Now().Add(a.Kind.Patience+patienceSlack)))
	if a.Err != nil {
		return false
	}
	if k.habit == Hesitates {
		first := text.Next(1 + int(a.split*float64(text.Len()-1)))
		if _, a.Err = c.Write(first); a.Err != nil {
			return false
		}
		time.Sleep(a.hesitation)
	}
	if _, a.Err = c.Write(text.Bytes()); a.Err != nil {
		return false
	}
	a.Written = time.Now()
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		a.Err = err
		return false
	}
	defer resp.Body.Close()
	a.Answered = time.Now()
	a.Body, a.Err = io.ReadAll(k.reader(resp.Body))
	a.Status = resp.StatusCode
	a.Stamps, a.MissingParts = platformtest.Parts(resp.Header)
	c.used++
	c.answered = time.Now()
	return a.Err == nil && !resp.Close
}

func (k *Keeper) reader(r io.Reader) io.Reader {
	if k.habit != ReadsSlowly {
		return r
	}
	return slowReader{r}
}

// slowReader reads small blocks with pauses.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(slowPause)
	return s.r.Read(b[:min(len(b), slowBlock)])
}
