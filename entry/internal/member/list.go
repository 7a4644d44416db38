package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"guavaspring.org/entry/internal/digest"
)

// Options configures a List.
type Options struct {
	// Self is this host's own row; its Epoch and State are set by New.
	Self Host
	// Rand selects the hosts for indirect probes and the lost host to contact; a seeded one makes a test repeatable.
	Rand *rand.Rand
	// Changed is called, without locks held, after each change of a host's state; it may be nil.
	Changed func(old, now Host)
}

// Timings and bounds of membership; docs/design/membership.md has the measurements behind them.
const (
	// ProbeEvery is the fixed interval between two probes that a host sends, whatever the size of the fleet.
	ProbeEvery = time.Second
	// SuspectFor is how long a suspect has to refute; three probe intervals cover a pause by the garbage collector and
	// one lost message.
	SuspectFor = 4 * time.Second
	// KeepDead is how long a dead row is kept, so that a region cut off for an hour is contacted again after it.
	KeepDead = 2 * time.Hour
	// maxRowsPerMessage is the maximum number of changed rows in one message, about 600 bytes.
	maxRowsPerMessage = 6
	// maxLoadsPerMessage is the maximum number of load reports in one message, about 100 bytes.
	maxLoadsPerMessage = 6
	// publishLoadsEvery is the interval between snapshots for changed loads: each takes 1 to 2 ms at 5,600 hosts.
	publishLoadsEvery = time.Second
	// pauseThreshold is the gap between two ticks above which this process counts as paused.
	pauseThreshold = 2 * time.Second
)

// List is one host's member list: the state of a SWIM failure detector, without the network.
//
// It handles failures and restarts in a fleet of any size: each host probes one neighbour a second, asks other hosts to
// probe it if that fails, suspects it before it declares it dead, and lets the suspect refute by a higher Epoch.
// Without the suspicion a host that pauses for a second would be dropped by all; without the fixed probe rate the
// traffic of a host would grow with the fleet. Each message carries a bounded number of changed rows.
type List struct {
	opts Options

	mu    sync.Mutex
	self  Host
	rows  map[string]*row
	byKey map[uint64]*row
	// sortedRows holds the rows sorted by ID, so that a snapshot of thousands of hosts needs no sorting.
	sortedRows []*row
	// expiring holds the rows with a deadline: suspects and dead hosts.
	expiring map[string]*row
	// queuedRows and queuedLoads hold the number of times that each queued row or load report was sent, by ID and key.
	queuedRows  map[string]int
	queuedLoads map[uint64]int
	lastTick    time.Time
	// loadsPublished is when changed loads last entered the snapshot.
	loadsPublished time.Time
	// resumed is when this process continued after its last pause.
	resumed time.Time
	// sentLoad is the load last queued for the other hosts, at loadSentAt; load is the current one.
	sentLoad   float64
	loadSentAt time.Time
	load       float64
	// neighbourIDs holds the IDs of the neighbours, lastProbed the index of the one probed last.
	lastProbed   int
	neighbourIDs []string
	// entries are the digest entries of the rows that are not dead, digestTotal their digest.
	entries     []digest.Entry
	digestTotal uint64
	// stale is set when the snapshot, the digest and the neighbours have to be rebuilt.
	stale bool
	// loadsStale is set when a load changed, which needs a new snapshot but no new neighbours.
	loadsStale     bool
	pendingChanges []change
	snapshot       atomic.Pointer[[]Host]
	// publishedSelf is this host's row as of the snapshot.
	publishedSelf atomic.Pointer[Host]
}

type row struct {
	Host
	// key caches Host.Key: hashing thousands of IDs at each change takes a millisecond.
	key uint64
	// deadline is when a suspect becomes dead, or a dead row is removed.
	deadline time.Time
	// left is set if the host announced its stop or was replaced, so that it isn't contacted again.
	left bool
}

type change struct{ old, now Host }

// NewRand returns a generator for Options.Rand. It need not be unpredictable: it only spreads probes and repairs.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// New returns a list that contains only this host.
func New(opts Options) *List {
	opts.Self.Epoch, opts.Self.State = 1, StateAlive
	l := &List{opts: opts, self: opts.Self, rows: map[string]*row{}, byKey: map[uint64]*row{}, expiring: map[string]*row{}, queuedRows: map[string]int{}, queuedLoads: map[uint64]int{}}
	l.queuedRows[l.self.ID] = 0
	l.rebuild()
	return l
}

// Self returns this host's own row.
func (l *List) Self() Host { return *l.publishedSelf.Load() }

// Hosts returns every host that is not dead, this one included, sorted by ID; the slice is shared and must not be
// modified.
func (l *List) Hosts() []Host { return *l.snapshot.Load() }

// SetLoad sets the share of this host's capacity in use, 0 to 1; it is sent to the other hosts at a bounded rate.
func (l *List) SetLoad(load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = min(1, max(0, load))
}

// Leave announces that this host is stopping; the announcement can't be revoked.
func (l *List) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.State == StateLeaving {
		return
	}
	l.self.Epoch++
	l.self.State = StateLeaving
	l.queuedRows[l.self.ID] = 0
	l.rebuild()
}

// Tick applies deadlines: suspects become dead, old rows are removed, and a changed load is queued for sending. Call it
// every few hundred milliseconds.
func (l *List) Tick(now time.Time) {
	l.mu.Lock()
	l.extendDeadlines(now)
	for _, r := range l.expiring {
		l.expire(r, now)
	}
	l.queueLoad(now)
	switch {
	case l.stale:
		l.rebuild()
	case l.loadsStale && now.Sub(l.loadsPublished) >= publishLoadsEvery:
		l.loadsPublished = now
		l.publish()
	}
	changes := l.takeChanges()
	l.mu.Unlock()
	l.notifyChanged(changes)
}

// extendDeadlines extends all deadlines by the length of a pause of this process. Otherwise a host that was stopped for
// a while would find every suspicion and every probe of its own overdue, and declare healthy hosts dead.
func (l *List) extendDeadlines(now time.Time) {
	gap := now.Sub(l.lastTick)
	if !l.lastTick.IsZero() && gap > pauseThreshold {
		l.resumed = now
		for _, r := range l.expiring {
			r.deadline = r.deadline.Add(gap)
		}
	}
	l.lastTick = now
}

// expire declares r dead or removes it if its deadline has passed.
func (l *List) expire(r *row, now time.Time) {
	if now.Before(r.deadline) {
		return
	}
	switch r.State {
	case StateSuspect:
		h := r.Host
		h.State = StateDead
		l.put(h, now)
	case StateDead:
		delete(l.rows, r.ID)
		delete(l.expiring, r.ID)
		delete(l.byKey, r.key)
		delete(l.queuedRows, r.ID)
		at, _ := slices.BinarySearchFunc(l.sortedRows, r.ID, compareID)
		l.sortedRows = slices.Delete(l.sortedRows, at, at+1)
	}
}

func compareID(r *row, id string) int { return strings.Compare(r.ID, id) }

// Merge applies rows that another host sent as changes, queues those that changed this list for sending, and returns
// them. If a row contradicts this host's own state, the result has the row that refutes it.
func (l *List) Merge(now time.Time, rows []Host) []Host { return l.merge(now, rows, true) }

// MergeRepaired applies rows that were found by anti-entropy, and doesn't queue them: the other hosts have had them for
// long, and a host that joins a large fleet would send old rows for hours, with recent changes queued among them. If a
// row contradicts this host's own state, it returns the row that refutes it, which has to reach all hosts.
func (l *List) MergeRepaired(now time.Time, rows []Host) (refutation Host, refuted bool) {
	self := l.Self().ID
	for _, h := range l.merge(now, rows, false) {
		if h.ID == self {
			return h, true
		}
	}
	return Host{}, false
}

// merge applies rows and returns those that changed the list; with enqueue unset it doesn't queue them for sending.
func (l *List) merge(now time.Time, rows []Host, enqueue bool) (fresh []Host) {
	l.mu.Lock()
	for _, h := range rows {
		_, queued := l.queuedRows[h.ID]
		switch {
		case h.ID == l.self.ID:
			if l.refute(h) {
				fresh = append(fresh, l.self)
			}
		case l.mergeRow(now, h):
			fresh = append(fresh, h)
		}
		if !enqueue && !queued && h.ID != l.self.ID {
			delete(l.queuedRows, h.ID)
		}
	}
	if l.stale {
		l.rebuild()
	}
	changes := l.takeChanges()
	l.mu.Unlock()
	l.notifyChanged(changes)
	return fresh
}

func (l *List) mergeRow(now time.Time, h Host) bool {
	if !h.valid() {
		return false
	}
	old, known := l.rows[h.ID]
	if !known && h.State == StateDead {
		// The tombstone of a host that was never in this list would only be passed on and never expire.
		return false
	}
	if known && !h.newer(old.Host) {
		return false
	}
	l.put(h, now)
	return true
}

// refute raises this host's Epoch if h contradicts its state, and reports whether it did. The higher Epoch overrides h
// on every host that received it.
func (l *List) refute(h Host) bool {
	if !h.valid() || h.Epoch < l.self.Epoch || h.Epoch == l.self.Epoch && h.State == l.self.State {
		return false
	}
	l.self.Epoch = h.Epoch + 1
	l.queuedRows[l.self.ID] = 0
	l.stale = true
	return true
}

// put stores h, which must be newer than the stored row, and queues it for sending.
func (l *List) put(h Host, now time.Time) {
	r := l.rows[h.ID]
	if r == nil {
		r = &row{key: h.Key()}
		l.rows[h.ID] = r
		l.byKey[r.key] = r
		at, _ := slices.BinarySearchFunc(l.sortedRows, h.ID, compareID)
		l.sortedRows = slices.Insert(l.sortedRows, at, r)
	} else if h.LoadSeq < r.LoadSeq {
		h.Load, h.LoadSeq = r.Load, r.LoadSeq
	}
	old := r.Host
	r.left = h.State == StateLeaving || h.State == StateDead && old.State == StateLeaving
	r.Host = h
	delete(l.expiring, h.ID)
	switch h.State {
	case StateSuspect:
		r.deadline = now.Add(SuspectFor)
		l.expiring[h.ID] = r
	case StateDead:
		r.deadline = now.Add(KeepDead)
		l.expiring[h.ID] = r
	}
	l.queuedRows[h.ID] = 0
	l.stale = true
	if old.State != h.State {
		l.pendingChanges = append(l.pendingChanges, change{old, h})
	}
}

func (l *List) takeChanges() []change {
	list := l.pendingChanges
	l.pendingChanges = nil
	return list
}

// notifyChanged calls Options.Changed for each change; it must be called without l.mu held.
func (l *List) notifyChanged(changes []change) {
	if l.opts.Changed == nil {
		return
	}
	for _, c := range changes {
		l.opts.Changed(c.old, c.now)
	}
}
