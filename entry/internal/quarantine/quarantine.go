package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/rumor"
)

const (
	// held is how long a request is refused; a caller that repeats a request does so within seconds.
	held = time.Minute
	// suspected is how long one break is remembered.
	suspected = 10 * time.Second
	// confirm is how long a suspicion stays on this host: nearly every innocent request has been answered by then, and
	// a crash with many in flight isn't told to the fleet once for each.
	confirm = 200 * time.Millisecond
	// patience is how long the shards of a suspect wait for its first second try, twice the usual reply of the slowest
	// service that was measured; an innocent must not lose all of them to one replica that has gone silent.
	patience = 100 * time.Millisecond
	// most bounds the requests that are remembered; the oldest go first.
	most = 4096
)

// Options configures a Quarantine.
type Options struct {
	Clock   clock.Clock
	Service string
	// Publish tells all hosts; it may be nil and must not block.
	Publish func(rumor.Rumor)
	// Judged is told of each request that is quarantined, by this host or another; it may be nil.
	Judged func(fp, why string)
}

// Verdict says what may be done with a request.
type Verdict struct {
	// Refused says that the request is quarantined; RetryAfter is when that ends.
	Refused    bool
	RetryAfter time.Duration
	// Suspect says that a connection broke under it: it must not be hedged.
	Suspect bool
}

// Quarantine remembers which requests of one service broke connections.
//
// It answers a request that crashes each replica that runs it, sent again and again by its caller: without it every
// replica of a shard is down within seconds. One break proves nothing, as a dying replica takes all that it runs with
// it. A request whose try broke is a suspect; it is tried once more, and a second break of the same shard on another
// replica quarantines it. An answer of the shard clears it, since a request that crashes upstreams is never answered.
// Suspects are kept apart: a replica gets one at a time from this host, so that an innocent one doesn't sit beside the
// guilty one a second time. A request that broke at several shards is tried again at one of them first while none has
// answered: sent to all at once, its second tries would take down several replicas more before the first has proved it
// guilty.
type Quarantine struct {
	opts Options

	mu      sync.Mutex
	records map[string]*record
	// carries says which suspect a replica runs now; changed is closed when one ends.
	carries map[string]*Try
	changed chan struct{}
}

// record is what is known of one request.
type record struct {
	until  time.Time
	held   bool
	shards map[int]*shard
	// probe is the one more try that the other shards of the request wait for.
	probe *Try
	// open says that its shards don't wait for one another any more, since one has answered or the probe took too long.
	open bool
}

// shard is what is known of one request at one shard.
type shard struct {
	broke  string
	trying bool
}

// New returns a quarantine without any request.
func New(opts Options) *Quarantine {
	if opts.Publish == nil {
		opts.Publish = func(rumor.Rumor) {}
	}
	if opts.Judged == nil {
		opts.Judged = func(string, string) {}
	}
	return &Quarantine{opts: opts, records: map[string]*record{}, carries: map[string]*Try{}, changed: make(chan struct{})}
}

// Fingerprint names a request by its service and its content as the upstream gets it, part by part.
func Fingerprint(service string, content ...[]byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	for _, part := range content {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(part)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// Check says what may be done with a request that has arrived.
func (q *Quarantine) Check(fp string) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	r := q.records[fp]
	if r == nil || !now.Before(r.until) {
		return Verdict{}
	}
	return Verdict{Refused: r.held, RetryAfter: r.until.Sub(now), Suspect: true}
}

// Outcome says what a try that was sent tells of its request.
type Outcome string

// The outcomes of a try.
const (
	// Broke means that the connection broke under the try.
	Broke Outcome = "broke"
	// Answered means that the shard answered.
	Answered Outcome = "answered"
	// Left means that the try tells nothing.
	Left Outcome = "left"
)

// Guard sends a try of shard n to a replica by send, unless the request is quarantined or may not go there now, and
// learns from how it ended.
func (q *Quarantine) Guard(ctx context.Context, fp string, n int, replica string, send func() Outcome) error {
	try, err := q.Enter(ctx, fp, n, replica)
	if err != nil {
		return err
	}
	switch send() {
	case Broke:
		try.Broke()
	case Answered:
		try.Answered()
	default:
		try.Left()
	}
	return nil
}

// Try is one try of a request that may be sent; exactly one of Broke, Answered and Left must follow.
type Try struct {
	q       *Quarantine
	fp      string
	n       int
	replica string
	// more says that it is the one more try of a suspect.
	more bool
}

// Enter asks to send a try of shard n to a replica, and waits while the replica runs another suspect or the request's
// own one more try of another shard is not decided.
func (q *Quarantine) Enter(ctx context.Context, fp string, n int, replica string) (*Try, error) {
	try := &Try{q: q, fp: fp, n: n, replica: replica}
	for {
		q.mu.Lock()
		wait, err := q.enter(try)
		q.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if wait == nil {
			return try, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for another suspect request: %w", ctx.Err())
		}
	}
}

// enter returns a channel to wait on where the replica runs another suspect, or where the one more try of another shard
// of the request is to be awaited first; q.mu is held.
func (q *Quarantine) enter(try *Try) (wait <-chan struct{}, err error) {
	r := q.records[try.fp]
	if r == nil || !q.opts.Clock.Now().Before(r.until) {
		return nil, nil
	}
	if r.held {
		return nil, fmt.Errorf("the request is quarantined: it broke connections to two replicas")
	}
	s := r.shards[try.n]
	if s == nil {
		return nil, nil
	}
	if s.trying {
		return nil, fmt.Errorf("the request is a suspect and its one more try runs already")
	}
	// A second break of the same replica would prove nothing against the request, and cost the replica one more crash.
	if s.broke == try.replica {
		return nil, fmt.Errorf("the request is a suspect since its connection to this replica broke; another one has to be tried")
	}
	if r.probe != nil || q.carries[try.replica] != nil {
		return q.changed, nil
	}
	s.trying, try.more = true, true
	if !r.open {
		r.probe = try
		q.opts.Clock.AfterFunc(patience, func() { q.giveUp(r, try) })
	}
	q.carries[try.replica] = try
	return nil, nil
}

// Broke notes that the connection broke under the try.
func (t *Try) Broke() {
	q, now := t.q, t.q.opts.Clock.Now()
	q.mu.Lock()
	q.leave(t)
	r := q.record(t.fp, now)
	s := r.shards[t.n]
	guilty := s != nil && s.broke != t.replica && !r.held
	// A try that was on its way when the request was quarantined adds nothing, and must not end the quarantine early.
	if s == nil && !r.held {
		r.shards[t.n] = &shard{broke: t.replica}
		r.until = now.Add(suspected)
		q.opts.Clock.AfterFunc(confirm, func() { q.tellSuspect(t.fp, t.n) })
	}
	if guilty {
		r.held, r.until = true, now.Add(held)
	}
	q.mu.Unlock()
	if !guilty {
		return
	}
	q.opts.Judged(t.fp, fmt.Sprintf("connections to %s and %s broke under it", s.broke, t.replica))
	q.publish(t.fp, now, held, nil)
}

// suspicion is the body of the rumor of a request that broke one connection; that of a quarantine has none.
type suspicion struct {
	Shard   int    `json:"shard"`
	Replica string `json:"replica"`
}

// tellSuspect tells all hosts of a request that has not been cleared: its caller may turn to another one next.
func (q *Quarantine) tellSuspect(fp string, n int) {
	now := q.opts.Clock.Now()
	q.mu.Lock()
	r := q.records[fp]
	open := r != nil && !r.held && now.Before(r.until) && r.shards[n] != nil
	var body []byte
	if open {
		body, _ = json.Marshal(suspicion{Shard: n, Replica: r.shards[n].broke})
	}
	q.mu.Unlock()
	if open {
		q.publish(fp, now, suspected, body)
	}
}

func (q *Quarantine) publish(fp string, now time.Time, life time.Duration, body []byte) {
	q.opts.Publish(rumor.Rumor{
		Kind: rumor.KindQuarantine, Service: q.opts.Service, Key: fp, Number: uint64(now.UnixMilli()), Expires: now.Add(life), Body: body,
	})
}

// Answered notes that the shard answered, which clears the request there.
func (t *Try) Answered() {
	q := t.q
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leave(t)
	r := q.records[t.fp]
	if r == nil || r.held {
		return
	}
	q.open(r)
	delete(r.shards, t.n)
	if len(r.shards) == 0 {
		delete(q.records, t.fp)
	}
}

// Left notes that the try ended without an answer and without a break.
func (t *Try) Left() {
	t.q.mu.Lock()
	defer t.q.mu.Unlock()
	t.q.leave(t)
}

// Heard takes over a quarantine or a suspicion from another host.
func (q *Quarantine) Heard(ru rumor.Rumor) {
	now := q.opts.Clock.Now()
	if ru.Service != q.opts.Service || !now.Before(ru.Expires) {
		return
	}
	q.mu.Lock()
	r := q.record(ru.Key, now)
	news := false
	var sus suspicion
	switch {
	case r.held:
	case len(ru.Body) == 0:
		// The other host's clock may be ahead; a request isn't refused for longer than this host would.
		news, r.held, r.until = true, true, now.Add(min(held, ru.Expires.Sub(now)))
	case json.Unmarshal(ru.Body, &sus) == nil && r.shards[sus.Shard] == nil:
		r.shards[sus.Shard] = &shard{broke: sus.Replica}
		r.until = now.Add(min(suspected, ru.Expires.Sub(now)))
	}
	q.mu.Unlock()
	if news {
		q.opts.Judged(ru.Key, "another host quarantined it")
	}
}

// leave ends the one more try of a suspect and lets the next suspect have its replica; q.mu is held.
func (q *Quarantine) leave(t *Try) {
	if !t.more {
		return
	}
	delete(q.carries, t.replica)
	q.wakeAll()
	r := q.records[t.fp]
	if r == nil {
		return
	}
	if r.probe == t {
		r.probe = nil
	}
	if r.shards[t.n] != nil {
		r.shards[t.n].trying = false
	}
}

// giveUp lets the other shards go where the probe is still undecided: its replica may be slow or silent.
func (q *Quarantine) giveUp(r *record, probe *Try) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.probe == probe {
		q.open(r)
	}
}

// open ends the waiting of a request's shards for one another; q.mu is held.
func (q *Quarantine) open(r *record) {
	if r.open {
		return
	}
	r.open, r.probe = true, nil
	q.wakeAll()
}

// wakeAll lets those who wait look again; q.mu is held.
func (q *Quarantine) wakeAll() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// record returns the record of a request, and makes room for a new one by dropping the one that ends first.
func (q *Quarantine) record(fp string, now time.Time) *record {
	r := q.records[fp]
	if r != nil && now.Before(r.until) {
		return r
	}
	if len(q.records) >= most {
		q.drop()
	}
	r = &record{shards: map[int]*shard{}}
	q.records[fp] = r
	return r
}

func (q *Quarantine) drop() {
	first := ""
	for fp, r := range q.records {
		if first == "" || r.until.Before(q.records[first].until) {
			first = fp
		}
	}
	delete(q.records, first)
}
