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
	// quarantineTTL is the time for which a request is blocked; a caller that repeats a request does so within seconds.
	quarantineTTL = time.Minute
	// suspectTTL is the time for which a request stays a suspect after one broken connection.
	suspectTTL = 10 * time.Second
	// publishDelay is the delay before a suspicion is published to other hosts. Nearly every innocent request has been
	// answered and cleared by then, so that a crash with many requests in flight doesn't publish a rumor for each.
	publishDelay = 200 * time.Millisecond
	// probeTimeout limits the wait of a suspect's shards for its probe to twice the usual reply time of the slowest
	// service that was measured: an innocent request must not miss all of these shards because of one silent replica.
	probeTimeout = 100 * time.Millisecond
	// maxRecords is the maximum number of records; the one that expires first is evicted.
	maxRecords = 4096
)

// Options configures a Quarantine.
type Options struct {
	Clock   clock.Clock
	Service string
	// Publish sends a rumor to all hosts; it may be nil and must not block.
	Publish func(rumor.Rumor)
	// Judged is called for each request that is quarantined, by this host or another; it may be nil.
	Judged func(fp, why string)
}

// Verdict is the quarantine state of a request.
type Verdict struct {
	// Refused is set where the request is quarantined; RetryAfter is the time until the quarantine ends.
	Refused    bool
	RetryAfter time.Duration
	// Suspect is set where a connection broke under the request, which must not be hedged then.
	Suspect bool
}

// Quarantine tracks the requests of one service under which connections broke.
//
// It protects the replicas from a request that crashes each replica that runs it and that its caller sends again and
// again: without quarantine, every replica of a shard is down within seconds. One broken connection proves nothing,
// since all requests in flight on a crashing replica fail with it. It makes the request a suspect, which is retried
// once; a second break of the same shard on another replica quarantines the request. A reply of the shard clears it
// there, since a request that crashes upstreams never gets a reply.
//
// Suspects are isolated: this host sends a replica one at a time, so that an innocent suspect isn't on the same replica
// as the crashing request a second time. While none of its shards has replied, a request that broke connections at
// several shards is retried at one of them first, the probe. Retries of all shards at once would take down several more
// replicas before the first of them proves the request guilty.
type Quarantine struct {
	opts Options

	mu      sync.Mutex
	records map[string]*record
	// retries holds the suspect's retry that each replica is running; changed is closed when one of them ends.
	retries map[string]*Attempt
	changed chan struct{}
}

// record is the state of one request.
type record struct {
	expires     time.Time
	quarantined bool
	shards      map[int]*shard
	// probe is the retry whose outcome the other shards of the request wait for.
	probe *Attempt
	// proceed is set where the shards no longer wait for a probe, since one of them has replied or the probe took too
	// long.
	proceed bool
}

// shard is the state of one request at one shard.
type shard struct {
	failedReplica string
	retrying      bool
}

// New returns an empty quarantine.
func New(opts Options) *Quarantine {
	if opts.Publish == nil {
		opts.Publish = func(rumor.Rumor) {}
	}
	if opts.Judged == nil {
		opts.Judged = func(string, string) {}
	}
	return &Quarantine{opts: opts, records: map[string]*record{}, retries: map[string]*Attempt{}, changed: make(chan struct{})}
}

// Fingerprint returns a hash of the service and of the parts of the content that the upstream gets, which identifies
// the request.
func Fingerprint(service string, content ...[]byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	for _, part := range content {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(part)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// Check returns the quarantine state of an incoming request.
func (q *Quarantine) Check(fp string) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	r := q.records[fp]
	if r == nil || !now.Before(r.expires) {
		return Verdict{}
	}
	return Verdict{Refused: r.quarantined, RetryAfter: r.expires.Sub(now), Suspect: true}
}

// Outcome is the result of an attempt as far as the quarantine is concerned.
type Outcome string

// The outcomes of an attempt.
const (
	// Broke means that the connection broke during the attempt.
	Broke Outcome = "broke"
	// Answered means that the shard replied.
	Answered Outcome = "answered"
	// Inconclusive means that the attempt ended with neither, which proves nothing about the request.
	Inconclusive Outcome = "left"
)

// Guard calls send for an attempt of shard n on a replica, and records the outcome. It returns an error without calling
// send if the request is quarantined or may not be sent to that replica now.
func (q *Quarantine) Guard(ctx context.Context, fp string, n int, replica string, send func() Outcome) error {
	attempt, err := q.Admit(ctx, fp, n, replica)
	if err != nil {
		return err
	}
	switch send() {
	case Broke:
		attempt.Broke()
	case Answered:
		attempt.Answered()
	default:
		attempt.Inconclusive()
	}
	return nil
}

// Attempt is an admitted attempt of a request; exactly one of Broke, Answered and Inconclusive must be called when it
// ends.
type Attempt struct {
	q       *Quarantine
	fp      string
	n       int
	replica string
	// retry is set where the attempt is the retry of a suspect.
	retry bool
}

// Admit admits an attempt of shard n on a replica. It waits while the replica runs another suspect or the request's
// probe at another shard has no outcome yet.
func (q *Quarantine) Admit(ctx context.Context, fp string, n int, replica string) (*Attempt, error) {
	attempt := &Attempt{q: q, fp: fp, n: n, replica: replica}
	for {
		q.mu.Lock()
		wait, err := q.admit(attempt)
		q.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if wait == nil {
			return attempt, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for another suspect request: %w", ctx.Err())
		}
	}
}

// admit admits the attempt, or returns a channel to wait on where the replica runs another suspect or the request has a
// probe at another shard. q.mu must be held.
func (q *Quarantine) admit(attempt *Attempt) (wait <-chan struct{}, err error) {
	r := q.records[attempt.fp]
	if r == nil || !q.opts.Clock.Now().Before(r.expires) {
		return nil, nil
	}
	if r.quarantined {
		return nil, fmt.Errorf("the request is quarantined: it broke connections to two replicas")
	}
	s := r.shards[attempt.n]
	if s == nil {
		return nil, nil
	}
	if s.retrying {
		return nil, fmt.Errorf("the request is a suspect and its one more try runs already")
	}
	// A second break on the same replica would prove nothing about the request and cost the replica another crash.
	if s.failedReplica == attempt.replica {
		return nil, fmt.Errorf("the request is a suspect since its connection to this replica broke; another one has to be tried")
	}
	if r.probe != nil || q.retries[attempt.replica] != nil {
		return q.changed, nil
	}
	s.retrying, attempt.retry = true, true
	if !r.proceed {
		r.probe = attempt
		q.opts.Clock.AfterFunc(probeTimeout, func() { q.expireProbe(r, attempt) })
	}
	q.retries[attempt.replica] = attempt
	return nil, nil
}

// Broke records that the connection broke during the attempt.
func (t *Attempt) Broke() {
	q, now := t.q, t.q.opts.Clock.Now()
	q.mu.Lock()
	q.endRetry(t)
	r := q.record(t.fp, now)
	s := r.shards[t.n]
	confirmed := s != nil && s.failedReplica != t.replica && !r.quarantined
	// An attempt that was in flight when the request was quarantined adds no evidence and must not shorten the
	// quarantine.
	if s == nil && !r.quarantined {
		r.shards[t.n] = &shard{failedReplica: t.replica}
		r.expires = now.Add(suspectTTL)
		q.opts.Clock.AfterFunc(publishDelay, func() { q.publishSuspicion(t.fp, t.n) })
	}
	if confirmed {
		r.quarantined, r.expires = true, now.Add(quarantineTTL)
	}
	q.mu.Unlock()
	if !confirmed {
		return
	}
	q.opts.Judged(t.fp, fmt.Sprintf("connections to %s and %s broke while serving it", s.failedReplica, t.replica))
	q.publish(t.fp, now, quarantineTTL, nil)
}

// suspicion is the body of the rumor about a suspect request; the rumor about a quarantined one has no body.
type suspicion struct {
	Shard   int    `json:"shard"`
	Replica string `json:"replica"`
}

// publishSuspicion publishes a suspicion that has not been cleared, since the caller may send the request to another
// host next.
func (q *Quarantine) publishSuspicion(fp string, n int) {
	now := q.opts.Clock.Now()
	q.mu.Lock()
	r := q.records[fp]
	stillSuspect := r != nil && !r.quarantined && now.Before(r.expires) && r.shards[n] != nil
	var body []byte
	if stillSuspect {
		body, _ = json.Marshal(suspicion{Shard: n, Replica: r.shards[n].failedReplica})
	}
	q.mu.Unlock()
	if stillSuspect {
		q.publish(fp, now, suspectTTL, body)
	}
}

func (q *Quarantine) publish(fp string, now time.Time, ttl time.Duration, body []byte) {
	q.opts.Publish(rumor.Rumor{
		Kind: rumor.KindQuarantine, Service: q.opts.Service, Key: fp, Number: uint64(now.UnixMilli()), Expires: now.Add(ttl), Body: body,
	})
}

// Answered records that the shard replied, which clears the request there.
func (t *Attempt) Answered() {
	q := t.q
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endRetry(t)
	r := q.records[t.fp]
	if r == nil || r.quarantined {
		return
	}
	q.letProceed(r)
	delete(r.shards, t.n)
	if len(r.shards) == 0 {
		delete(q.records, t.fp)
	}
}

// Inconclusive records that the attempt ended with neither a reply nor a broken connection.
func (t *Attempt) Inconclusive() {
	t.q.mu.Lock()
	defer t.q.mu.Unlock()
	t.q.endRetry(t)
}

// ApplyRumor applies a rumor about a quarantined or suspect request from another host.
func (q *Quarantine) ApplyRumor(ru rumor.Rumor) {
	now := q.opts.Clock.Now()
	if ru.Service != q.opts.Service || !now.Before(ru.Expires) {
		return
	}
	q.mu.Lock()
	r := q.record(ru.Key, now)
	added := false
	var sus suspicion
	switch {
	case r.quarantined:
	case len(ru.Body) == 0:
		// The other host's clock may be ahead: a request isn't blocked for longer than by a local quarantine.
		added, r.quarantined, r.expires = true, true, now.Add(min(quarantineTTL, ru.Expires.Sub(now)))
	case json.Unmarshal(ru.Body, &sus) == nil && r.shards[sus.Shard] == nil:
		r.shards[sus.Shard] = &shard{failedReplica: sus.Replica}
		r.expires = now.Add(min(suspectTTL, ru.Expires.Sub(now)))
	}
	q.mu.Unlock()
	if added {
		q.opts.Judged(ru.Key, "another host quarantined it")
	}
}

// endRetry ends the retry of a suspect and frees its replica for the next suspect; q.mu must be held.
func (q *Quarantine) endRetry(t *Attempt) {
	if !t.retry {
		return
	}
	delete(q.retries, t.replica)
	q.notifyWaiters()
	r := q.records[t.fp]
	if r == nil {
		return
	}
	if r.probe == t {
		r.probe = nil
	}
	if r.shards[t.n] != nil {
		r.shards[t.n].retrying = false
	}
}

// expireProbe lets the other shards proceed if the probe has no outcome yet: its replica may be slow or silent.
func (q *Quarantine) expireProbe(r *record, probe *Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.probe == probe {
		q.letProceed(r)
	}
}

// letProceed lets the request's shards proceed without waiting for a probe; q.mu must be held.
func (q *Quarantine) letProceed(r *record) {
	if r.proceed {
		return
	}
	r.proceed, r.probe = true, nil
	q.notifyWaiters()
}

// notifyWaiters wakes all waiting attempts to check again; q.mu must be held.
func (q *Quarantine) notifyWaiters() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// record returns the record of a request. It creates one where there is none or it has expired, and evicts the record
// that expires first if there are too many.
func (q *Quarantine) record(fp string, now time.Time) *record {
	r := q.records[fp]
	if r != nil && now.Before(r.expires) {
		return r
	}
	if len(q.records) >= maxRecords {
		q.evict()
	}
	r = &record{shards: map[int]*shard{}}
	q.records[fp] = r
	return r
}

func (q *Quarantine) evict() {
	first := ""
	for fp, r := range q.records {
		if first == "" || r.expires.Before(q.records[first].expires) {
			first = fp
		}
	}
	delete(q.records, first)
}
