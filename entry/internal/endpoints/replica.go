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
	"guavaspring.org/entry/internal/balance"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/pick"
)

const (
	// slownessWeight and failureWeight are the weights of a new sample; about four samples outweigh all earlier ones.
	slownessWeight = 0.3
	failureWeight  = 0.25
	// outlierRatio is the factor over the usual time from which a reply is more often long work than a slow replica:
	// one in a hundred takes five times as long. Such a reply has the weight outlierWeight; after one, a replica that
	// is ten times slower is still estimated at twice the usual.
	outlierRatio  = 2.5
	outlierWeight = 0.1
	// repeatedOutlierWeight is the weight of an outlier that was sent after the previous one had come, with no normal
	// reply between. A pause hits all requests in flight, and only once; without the larger weight each host would try
	// a replica that is ten times slower twice a second, as the estimate decays as fast as it grows.
	repeatedOutlierWeight = 0.5
	// maxSlowness bounds one sample, so that a replica that did not respond for a while is used again soon.
	maxSlowness = 20
	// minBackoff and maxBackoff bound the backoff after a replica could not be reached; it doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// newReplicaColdFor is how long a replica counts as cold that was added after the first list: replicas are slow for
	// some seconds after their start.
	newReplicaColdFor = 3 * time.Second
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
	// removeAt is when the replica is removed after its row vanished during an outage of the store; zero while it is
	// listed.
	removeAt  time.Time
	coldUntil time.Time
	// wasEvacuated is whether the replica's zone was evacuated at the last update, coldSent the times of recent
	// requests to it while it was cold.
	wasEvacuated bool
	coldSent     []time.Time
	// running holds the start of each request in flight by its number.
	running     map[uint64]time.Time
	lastRequest uint64
	// turn is the replica's turn after its last request.
	turn float64
	// slowness and failures are as of estimatedAt, and decay from then on.
	slowness, failures float64
	estimatedAt        time.Time
	// reported is the load that the replica reports.
	reported loadReport
	// lastOutlier is when the last outlier came, zero if a normal reply has come since; lastRatio is the factor by which
	// it took longer than usual.
	lastOutlier time.Time
	lastRatio   float64
	// backoffUntil is the end of the backoff after the replica could not be reached, backoffCount the number of such
	// failures in a row.
	backoffUntil time.Time
	backoffCount int
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
	return r.usableAt(r.clock.Now())
}

func (r *Replica) usableAt(now time.Time) bool {
	return r.usable && (r.removeAt.IsZero() || now.Before(r.removeAt)) && !r.evacuated(r.row.Zone)
}

// begin counts a request as in flight and returns its number.
func (r *Replica) begin(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequest++
	r.turn = r.service.turns.Sent(r.turn, r.slownessAt(now))
	r.running[r.lastRequest] = now
	return r.lastRequest
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
		r.reported.observe(now, res.Reply.Load, timeRatio(res.Took, usual))
		r.observeReply(now, res.Took, usual, 0)
		r.backoffCount, r.backoffUntil = 0, time.Time{}
	case upstream.KindCanceled:
		// A canceled request would have taken at least this long.
		if float64(res.Took) > r.slownessAt(now)*float64(usual) {
			r.observeReply(now, res.Took, usual, r.failures)
		}
	case upstream.KindNotSent:
		if !res.Busy {
			r.backOff(now)
		}
	case upstream.KindRefused:
		// The address belongs to another replica: this one can't be used until the list changes.
		r.usable = false
	default:
		r.observeFailure(now)
		if !res.Whole() {
			r.backoffCount = 0
			r.backOff(now)
		}
	}
}

func (r *Replica) backOff(now time.Time) {
	r.backoffUntil = now.Add(min(minBackoff<<min(r.backoffCount, 8), maxBackoff))
	r.backoffCount++
}

// timeRatio returns the ratio of a reply's time to the usual one.
func timeRatio(took, usual time.Duration) float64 {
	return float64(took) / float64(max(usual, time.Millisecond))
}

func (r *Replica) observeReply(now time.Time, took, usual time.Duration, failed float64) {
	ratio := min(timeRatio(took, usual), maxSlowness)
	weight := r.replyWeight(now, now.Add(-took), ratio)
	r.slowness = r.slownessAt(now) + weight*(ratio-r.slownessAt(now))
	r.failures = r.failuresAt(now) + failureWeight*(failed-r.failuresAt(now))
	r.estimatedAt = now
}

// replyWeight returns the weight of a reply that was sent at the given time and took ratio times the usual time.
func (r *Replica) replyWeight(now, sent time.Time, ratio float64) float64 {
	previous := r.lastOutlier
	switch {
	case ratio <= outlierRatio:
		r.lastOutlier = time.Time{}
		return slownessWeight
	case previous.IsZero():
		r.lastOutlier, r.lastRatio = now, ratio
		return outlierWeight
	case sent.Before(previous):
		// It was in flight when the previous outlier came: the same pause delayed both.
		return 0
	}
	r.lastOutlier, r.lastRatio = now, ratio
	return repeatedOutlierWeight
}

func (r *Replica) observeFailure(now time.Time) {
	r.slowness = r.slownessAt(now)
	r.failures = r.failuresAt(now) + failureWeight*(1-r.failuresAt(now))
	r.estimatedAt = now
}

func (r *Replica) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(r.estimatedAt)) / float64(pick.DecayTime))
}

func (r *Replica) slownessAt(now time.Time) float64 { return 1 + (r.slowness-1)*r.decay(now) }

func (r *Replica) failuresAt(now time.Time) float64 { return r.failures * r.decay(now) }

// view returns the input of a choice, whether the replica is in backoff, and whether it may be used at all.
func (r *Replica) view(now time.Time) (v pick.Replica, backingOff, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v = pick.Replica{
		Running: len(r.running), Slots: r.row.Slots, Slowness: r.reported.slowness(now, r.slownessAt(now)), Queued: r.reported.queued(now),
		Failures: r.failuresAt(now), Near: r.near, Cold: now.Before(r.coldUntil), Turn: r.service.turns.At(r.turn), Reports: r.reported.used(),
	}
	if !r.lastOutlier.IsZero() {
		v.Suspected = balance.Suspicion(r.lastRatio, now.Sub(r.lastOutlier))
	}
	for _, start := range r.running {
		v.Oldest = max(v.Oldest, now.Sub(start))
	}
	return v, now.Before(r.backoffUntil), r.usableAt(now)
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
	// Memory keeps the memory of a complete reply.
	Memory *memory.Reservation
	// ForOther marks a request that another host received and counts as its own.
	ForOther bool
}

// Send sends one request, unless the replica has become unusable, and updates the estimates from its result.
func (r *Replica) Send(ctx context.Context, call Call) exchange.Result {
	began := r.clock.Now()
	if !r.reserveCold(began) {
		return exchange.Result{Kind: upstream.KindNotSent, Detail: coldLimitExceeded, Busy: true}
	}
	n := r.begin(began)
	if !call.ForOther {
		r.service.BeginAttempt(began)
	}
	res := r.pool.Do(ctx, &exchange.Call{
		Request: call.Request, Replica: r.ID(), Deadline: call.Deadline, Connections: call.Connections, Once: call.Once, Memory: call.Memory,
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
		r.service.EndAttempt(now, now.Sub(began))
	}
	if res.Kind == upstream.KindOK {
		r.service.RecordReply(now, res.Took, call.Unloaded)
	}
	r.service.Wake(now)
	return res
}
