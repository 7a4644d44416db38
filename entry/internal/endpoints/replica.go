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
	// slownessWeight and failureWeight are the weights of a new sample; about four samples outweigh all earlier ones.
	slownessWeight = 0.3
	failureWeight  = 0.25
	// outlier is the factor over the usual time from which a reply is more often long work than a slow replica: one in
	// a hundred takes five times as long. Such a reply has the weight outlierWeight; after one, a replica that is ten
	// times slower is still estimated at twice the usual.
	outlier       = 2.5
	outlierWeight = 0.1
	// outlierAgain is the weight of an outlier that was sent after the previous one had come, with no normal reply
	// between. A pause hits all requests in flight, and only once; without the larger weight each host would try a
	// replica that is ten times slower twice a second, as the estimate decays as fast as it grows.
	outlierAgain = 0.5
	// mostSlowness bounds one sample, so that a replica that did not respond for a while is used again soon.
	mostSlowness = 20
	// firstPause and mostPause bound the backoff after a replica could not be reached; it doubles with each failure.
	firstPause = 100 * time.Millisecond
	mostPause  = 2 * time.Second
	// coldFor is how long a replica counts as cold that was added after the first list: replicas are slow for some
	// seconds after their start.
	coldFor = 3 * time.Second
)

// Replica is one process of a replica with what this host has measured of it.
type Replica struct {
	clock   clock.Clock
	near    bool
	region  string
	service *Service
	pool    *exchange.Pool
	// evacuated reports whether the replicas of a zone may get no requests.
	evacuated func(zone string) bool
	// coldShare returns the number of requests per second that this host may send to the replica while it is cold.
	coldShare func(replica string, perSecond float64) int

	mu     sync.Mutex
	row    platform.Replica
	usable bool
	// lapsed is when a replica is removed whose row vanished during an outage of the store; zero while it is listed.
	lapsed  time.Time
	coldEnd time.Time
	// spared is whether the replica's zone was evacuated at the last update, coldSent the times of recent requests to
	// it while it was cold.
	spared   bool
	coldSent []time.Time
	// running holds the start of each request in flight by its number.
	running map[uint64]time.Time
	next    uint64
	// slowness and failures are as of seen, and decay from then on.
	slowness, failures float64
	seen               time.Time
	// reported is the load that the replica reports.
	reported reported
	// late is when the last outlier came, zero if a normal reply has come since.
	late time.Time
	// until is the end of the backoff after the replica could not be reached, tries the number of such failures in a
	// row.
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

// Process identifies the replica's process: a replica that starts again keeps its id, and failures of its former
// process must not count against the new one.
func (r *Replica) Process() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.row.Started.IsZero() {
		return r.row.ID
	}
	return r.row.ID + "@" + strconv.FormatInt(r.row.Started.UnixMilli(), 10)
}

// Usable reports whether new requests may be sent to the replica: it is listed and not leaving, and its zone is not
// evacuated.
func (r *Replica) Usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayUse(r.clock.Now())
}

func (r *Replica) mayUse(now time.Time) bool {
	return r.usable && (r.lapsed.IsZero() || now.Before(r.lapsed)) && !r.evacuated(r.row.Zone)
}

// begin counts a request as in flight and returns its number.
func (r *Replica) begin(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	r.running[r.next] = now
	return r.next
}

// end counts the request as ended and updates the estimates from its result, where usual is the time of a healthy
// replica.
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
		// A canceled request would have taken at least this long.
		if float64(res.Took) > r.slownessAt(now)*float64(usual) {
			r.learn(now, res.Took, usual, r.failures)
		}
	case upstream.KindNotSent:
		if !res.Busy {
			r.unreachable(now)
		}
	case upstream.KindRefused:
		// The address belongs to another replica: this one can't be used until the list changes.
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

// times returns the ratio of a reply's time to the usual one.
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

// weigh returns the weight of a reply that was sent at the given time and took x times the usual.
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
		// It was in flight when the previous outlier came: the same pause delayed both.
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

// view returns the input of a choice, whether the replica is in backoff, and whether it may be used at all.
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

// Call is one request to a replica.
type Call struct {
	Request *opaque.Request
	// Deadline is when the replica must stop working on the request.
	Deadline time.Time
	// Connections is the maximum number of connections from this host to the replica.
	Connections int
	// Usual is the time that a healthy replica takes, Unloaded the time without queueing there, zero if unknown.
	Usual, Unloaded time.Duration
	// Once forbids running the request twice.
	Once bool
	// ForOther marks a request that another host received and counts as its own.
	ForOther bool
}

// Send sends one request, unless the replica has become unusable, and updates the estimates from its result.
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
		// The replica may have been removed while the request waited for a connection.
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
