package endpoints

import (
	"context"
	"errors"
	"math"
	"strconv"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/pick"
)

const (
	// slownessWeight and failureWeight are the weights of a new sample; about four samples outweigh what was known
	// before.
	slownessWeight = 0.3
	failureWeight  = 0.25
	// outlier is how many times the usual a reply takes that is a long piece of work more often than a slow replica:
	// one in a hundred takes five times as long. It counts with outlierWeight; a replica that is ten times slower still
	// stands at twice the usual after one.
	outlier       = 2.5
	outlierWeight = 0.1
	// outlierAgain is the weight of an outlier that was sent after another one had come, with none in time between. A
	// pause is met by all that is under way, and once; a replica that is ten times slower would otherwise be tried
	// twice a second by each host, which forgets it as fast as it learns.
	outlierAgain = 0.5
	// mostSlowness bounds what one sample can say, so that a replica that was dark is found again soon.
	mostSlowness = 20
	// firstPause and mostPause bound how long a replica that can't be reached is left alone; the time doubles with each
	// failure.
	firstPause = 100 * time.Millisecond
	mostPause  = 2 * time.Second
	// coldFor is how long a replica that was listed after the first list counts as cold: replicas are slow for some
	// seconds after their start.
	coldFor = 3 * time.Second
)

// Replica is one replica with what this host has seen of it.
type Replica struct {
	clock   clock.Clock
	near    bool
	region  string
	service *Service
	pool    *exchange.Pool
	// evacuated reports whether nothing may be sent to the replicas of a zone.
	evacuated func(zone string) bool
	// coldShare returns how many requests this host may send to the replica in a second while it is cold.
	coldShare func(replica string, perSecond float64) int

	mu     sync.Mutex
	row    platform.Replica
	usable bool
	// lapsed is when a row that vanished while the store was away counts as gone; zero where it is listed.
	lapsed  time.Time
	coldEnd time.Time
	// spared says that the replica's zone was evacuated when the table last looked, coldSent when requests were sent to
	// it while it was cold.
	spared   bool
	coldSent []time.Time
	// running holds the starts of the requests under way, in no order.
	running map[uint64]time.Time
	next    uint64
	// slowness and failures are as of seen, and lose weight from then on.
	slowness, failures float64
	seen               time.Time
	// reported is what the replica says of its speed and its queue.
	reported reported
	// late is when an outlier came last, zero where a reply in time has come since.
	late time.Time
	// until is when the replica may be tried again after it could not be reached, tries how often in a row that
	// happened.
	until time.Time
	tries int
}

// ID returns the replica's id.
func (r *Replica) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row.ID
}

// Zone returns the replica's availability zone.
func (r *Replica) Zone() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row.Zone
}

// Process names the replica's process: a replica that starts again keeps its id, and what its former process did
// doesn't count against it.
func (r *Replica) Process() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.row.Started.IsZero() {
		return r.row.ID
	}
	return r.row.ID + "@" + strconv.FormatInt(r.row.Started.UnixMilli(), 10)
}

// Usable reports whether new requests may be sent to the replica: it is listed, does not leave, and its zone is not
// evacuated.
func (r *Replica) Usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayUse(r.clock.Now())
}

func (r *Replica) mayUse(now time.Time) bool {
	return r.usable && (r.lapsed.IsZero() || now.Before(r.lapsed)) && !r.evacuated(r.row.Zone)
}

// begin counts a request as under way and returns its number.
func (r *Replica) begin(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.running[r.next] = now
	return r.next
}

// end counts the request as ended and learns from its result, where usual is the time of a healthy replica.
func (r *Replica) end(n uint64, res *exchange.Result, usual time.Duration) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, n)
	switch res.Kind {
	case upstream.KindOK:
		r.reported.note(now, res.Reply.Load, times(res.Took, usual))
		r.learn(now, res.Took, usual, 0)
		r.tries, r.until = 0, time.Time{}
	case upstream.KindCanceled:
		// A request that was given up took at least so long.
		if float64(res.Took) > r.slownessAt(now)*float64(usual) {
			r.learn(now, res.Took, usual, r.failures)
		}
	case upstream.KindNotSent:
		if !res.Busy {
			r.unreachable(now)
		}
	case upstream.KindRefused:
		// The address belongs to another replica: nothing can be had here until the list says so.
		r.usable = false
	default:
		r.learnFailure(now)
		if !res.Whole() {
			r.tries = 0
			r.unreachable(now)
		}
	}
}

func (r *Replica) unreachable(now time.Time) {
	r.until = now.Add(min(firstPause<<min(r.tries, 8), mostPause))
	r.tries++
}

// times returns how many times the usual a reply took.
func times(took, usual time.Duration) float64 {
	return float64(took) / float64(max(usual, time.Millisecond))
}

func (r *Replica) learn(now time.Time, took, usual time.Duration, failed float64) {
	x := min(times(took, usual), mostSlowness)
	weight := r.weigh(now, now.Add(-took), x)
	r.slowness = r.slownessAt(now) + weight*(x-r.slownessAt(now))
	r.failures = r.failuresAt(now) + failureWeight*(failed-r.failuresAt(now))
	r.seen = now
}

// weigh returns the weight of a reply that was sent at some time and took x times the usual.
func (r *Replica) weigh(now, sent time.Time, x float64) float64 {
	before := r.late
	switch {
	case x <= outlier:
		r.late = time.Time{}
		return slownessWeight
	case before.IsZero():
		r.late = now
		return outlierWeight
	case sent.Before(before):
		// It was there when the last one was: the same pause.
		return 0
	}
	r.late = now
	return outlierAgain
}

func (r *Replica) learnFailure(now time.Time) {
	r.slowness = r.slownessAt(now)
	r.failures = r.failuresAt(now) + failureWeight*(1-r.failuresAt(now))
	r.seen = now
}

func (r *Replica) fade(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(r.seen)) / float64(pick.Forget))
}

func (r *Replica) slownessAt(now time.Time) float64 { return 1 + (r.slowness-1)*r.fade(now) }

func (r *Replica) failuresAt(now time.Time) float64 { return r.failures * r.fade(now) }

// view returns what a decision needs, whether the replica is left alone for a while, and whether it may be used at all.
func (r *Replica) view(now time.Time) (v pick.Replica, resting, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v = pick.Replica{
		Running: len(r.running), Slots: r.row.Slots, Slowness: r.reported.slowness(now, r.slownessAt(now)), Queued: r.reported.queued(now),
		Failures: r.failuresAt(now), Near: r.near, Cold: now.Before(r.coldEnd),
	}
	for _, start := range r.running {
		v.Oldest = max(v.Oldest, now.Sub(start))
	}
	return v, now.Before(r.until), r.mayUse(now)
}

var errUnusable = errors.New("the replica leaves or is gone, or its zone is evacuated")

// Call is one request to be sent to a replica.
type Call struct {
	Request *opaque.Request
	// Deadline is when the replica has to give up.
	Deadline time.Time
	// Connections is the most connections that this host may hold to the replica.
	Connections int
	// Usual is the time that a healthy replica takes, Unloaded the time while nothing queues there, zero for unknown.
	Usual, Unloaded time.Duration
	// Once says that the request must not run twice.
	Once bool
	// ForOther says that the request came to another host, which counts it as its own.
	ForOther bool
}

// Send sends one request, unless the replica was found leaving meanwhile, and learns from how it ends.
func (r *Replica) Send(ctx context.Context, call Call) exchange.Result {
	began := r.clock.Now()
	if !r.takeCold(began) {
		return exchange.Result{Kind: upstream.KindNotSent, Detail: tooCold, Busy: true}
	}
	n := r.begin(began)
	if !call.ForOther {
		r.service.Begin(began)
	}
	res := r.pool.Do(ctx, &exchange.Call{
		Request: call.Request, Replica: r.ID(), Deadline: call.Deadline, Connections: call.Connections, Once: call.Once,
		// What waited for a connection may have outlived the replica's place in the list.
		Guard: func() error {
			if !r.Usable() {
				return errUnusable
			}
			return nil
		},
	})
	now := r.clock.Now()
	r.end(n, &res, call.Usual)
	if !call.ForOther {
		r.service.End(now, now.Sub(began))
	}
	if res.Kind == upstream.KindOK {
		r.service.Replied(now, res.Took, call.Unloaded)
	}
	r.service.Wake(now)
	return res
}
