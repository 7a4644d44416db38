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
	// Rand draws probe orders and the hosts of indirect probes; a seeded one makes a test repeatable.
	Rand *rand.Rand
	// Changed is called, without locks held, after each change of a host's state; it may be nil.
	Changed func(old, now Host)
}

// Timings and bounds of membership. docs/design/membership.md says which measurement each came from.
const (
	// ProbeEvery is the fixed time between two probes of one host, whatever the fleet's size.
	ProbeEvery = time.Second
	// SuspectFor is how long a suspect has to refute; three probe times cover a pause of the collector and one lost
	// message.
	SuspectFor = 4 * time.Second
	// KeepDead is how long a dead row is kept, so that a region cut off for an hour is sought again after it.
	KeepDead = 2 * time.Hour
	// maxRows is the most changed rows in one message, about 600 bytes.
	maxRows = 6
	// maxLoads is the most load marks in one message, about 100 bytes.
	maxLoads = 6
	// publishLoads is how often the snapshot takes over loads: at 5,600 hosts each takes a millisecond or two.
	publishLoads = time.Second
	// pauseAfter is the gap between two ticks that counts as a pause of this process.
	pauseAfter = 2 * time.Second
)

// List is one host's picture of all hosts, with the decisions of a SWIM failure detector and no network.
//
// It answers the load of failures and restarts in a fleet of any size: each host probes one neighbour a second,
// asks others to probe when that fails, suspects before it declares dead, and lets the accused refute by a higher
// Epoch. Without the suspicion a host that pauses for a second would be dropped by all; without the fixed probe rate
// the traffic of a host would grow with the fleet. Each message carries a bounded number of changed rows.
type List struct {
	opts Options

	mu    sync.Mutex
	self  Host
	rows  map[string]*row
	byKey map[uint64]*row
	// order holds the rows ordered by ID, so that a snapshot of thousands needs no sorting.
	order []*row
	// waiting holds the rows that time changes: suspects and the dead.
	waiting  map[string]*row
	queue    map[string]int
	loads    map[uint64]int
	lastTick time.Time
	// published is when the snapshot last took over changed loads.
	published time.Time
	resumed   time.Time
	toldLoad  float64
	toldAt    time.Time
	load      float64
	turn      int
	around    []string
	entries   []digest.Entry
	total     uint64
	stale     bool
	// staleLoad says that only loads changed, which needs a new snapshot but no new neighbours.
	staleLoad bool
	pending   []change
	snapshot  atomic.Pointer[[]Host]
	own       atomic.Pointer[Host]
}

type row struct {
	Host
	// key is Host.Key, kept since hashing thousands of IDs at each change takes a millisecond.
	key uint64
	// until is when a suspect becomes dead, or a dead row is dropped.
	until time.Time
	// left says that the host had announced its stop, so that it isn't sought again.
	left bool
}

type change struct{ old, now Host }

// NewRand returns a generator for Options.Rand. It needs no secrecy: it only spreads probes and repairs.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// New returns a list that knows only this host.
func New(opts Options) *List {
	opts.Self.Epoch, opts.Self.State = 1, StateAlive
	l := &List{opts: opts, self: opts.Self, rows: map[string]*row{}, byKey: map[uint64]*row{}, waiting: map[string]*row{}, queue: map[string]int{}, loads: map[uint64]int{}}
	l.queue[l.self.ID] = 0
	l.rebuild()
	return l
}

// Self returns this host's own row.
func (l *List) Self() Host { return *l.own.Load() }

// Hosts returns every host that is not dead, this one included, ordered by ID; the slice is shared and must not be
// changed.
func (l *List) Hosts() []Host { return *l.snapshot.Load() }

// SetLoad sets the share of this host's capacity in use, 0 to 1; the others hear of it at a bounded rate.
func (l *List) SetLoad(load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = min(1, max(0, load))
}

// Leave announces that this host is stopping; the announcement can't be taken back.
func (l *List) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.State == StateLeaving {
		return
	}
	l.self.Epoch++
	l.self.State = StateLeaving
	l.queue[l.self.ID] = 0
	l.rebuild()
}

// Tick lets time pass: suspects die, old rows go and a changed load is told. Call it every few hundred milliseconds.
func (l *List) Tick(now time.Time) {
	l.mu.Lock()
	l.notePause(now)
	for _, r := range l.waiting {
		l.expire(r, now)
	}
	l.tellLoad(now)
	switch {
	case l.stale:
		l.rebuild()
	case l.staleLoad && now.Sub(l.published) >= publishLoads:
		l.published = now
		l.publish()
	}
	changes := l.takeChanges()
	l.mu.Unlock()
	l.announce(changes)
}

// notePause guards against the failure in which a host that was stopped for a while wakes up, finds every suspicion and
// every probe of its own overdue, and declares healthy hosts dead: what waited during the pause waits that much longer.
func (l *List) notePause(now time.Time) {
	gap := now.Sub(l.lastTick)
	if !l.lastTick.IsZero() && gap > pauseAfter {
		l.resumed = now
		for _, r := range l.waiting {
			r.until = r.until.Add(gap)
		}
	}
	l.lastTick = now
}

func (l *List) expire(r *row, now time.Time) {
	if now.Before(r.until) {
		return
	}
	switch r.State {
	case StateSuspect:
		h := r.Host
		h.State = StateDead
		l.put(h, now)
	case StateDead:
		delete(l.rows, r.ID)
		delete(l.waiting, r.ID)
		delete(l.byKey, r.key)
		delete(l.queue, r.ID)
		at, _ := slices.BinarySearchFunc(l.order, r.ID, compareID)
		l.order = slices.Delete(l.order, at, at+1)
	}
}

func compareID(r *row, id string) int { return strings.Compare(r.ID, id) }

// Merge takes over rows that another host sent as news, passes them on, and returns those that were news here. Where a
// row accuses this host, that is the row by which it refutes.
func (l *List) Merge(now time.Time, rows []Host) []Host { return l.merge(now, rows, true) }

// Learn takes over rows that were found by comparing tables, and doesn't pass them on: others have had them for long,
// and a host that joins a large fleet would have nothing but old rows to tell for hours, with real news among them.
// Where a row accuses this host, it returns the row by which it refutes, which is news to all.
func (l *List) Learn(now time.Time, rows []Host) (refutation Host, refuted bool) {
	self := l.Self().ID
	for _, h := range l.merge(now, rows, false) {
		if h.ID == self {
			return h, true
		}
	}
	return Host{}, false
}

func (l *List) merge(now time.Time, rows []Host, news bool) (fresh []Host) {
	l.mu.Lock()
	for _, h := range rows {
		_, queued := l.queue[h.ID]
		switch {
		case h.ID == l.self.ID:
			if l.refute(h) {
				fresh = append(fresh, l.self)
			}
		case l.mergeOne(now, h):
			fresh = append(fresh, h)
		}
		if !news && !queued && h.ID != l.self.ID {
			delete(l.queue, h.ID)
		}
	}
	if l.stale {
		l.rebuild()
	}
	changes := l.takeChanges()
	l.mu.Unlock()
	l.announce(changes)
	return fresh
}

func (l *List) mergeOne(now time.Time, h Host) bool {
	if !h.valid() {
		return false
	}
	old, known := l.rows[h.ID]
	if !known && h.State == StateDead {
		// A tombstone of a host never known here would only travel on and never expire.
		return false
	}
	if known && !h.newer(old.Host) {
		return false
	}
	l.put(h, now)
	return true
}

// refute answers a suspicion against this host by a higher Epoch, which overrides the accusation wherever it went, and
// reports whether there was one.
func (l *List) refute(h Host) bool {
	if !h.valid() || h.Epoch < l.self.Epoch || h.Epoch == l.self.Epoch && h.State == l.self.State {
		return false
	}
	l.self.Epoch = h.Epoch + 1
	l.queue[l.self.ID] = 0
	l.stale = true
	return true
}

// put stores h, which the caller found to be newer, and queues it for the others.
func (l *List) put(h Host, now time.Time) {
	r := l.rows[h.ID]
	if r == nil {
		r = &row{key: h.Key()}
		l.rows[h.ID] = r
		l.byKey[r.key] = r
		at, _ := slices.BinarySearchFunc(l.order, h.ID, compareID)
		l.order = slices.Insert(l.order, at, r)
	} else if h.LoadSeq < r.LoadSeq {
		h.Load, h.LoadSeq = r.Load, r.LoadSeq
	}
	old := r.Host
	r.left = h.State == StateLeaving || h.State == StateDead && old.State == StateLeaving
	r.Host = h
	delete(l.waiting, h.ID)
	switch h.State {
	case StateSuspect:
		r.until = now.Add(SuspectFor)
		l.waiting[h.ID] = r
	case StateDead:
		r.until = now.Add(KeepDead)
		l.waiting[h.ID] = r
	}
	l.queue[h.ID] = 0
	l.stale = true
	if old.State != h.State {
		l.pending = append(l.pending, change{old, h})
	}
}

func (l *List) takeChanges() []change {
	list := l.pending
	l.pending = nil
	return list
}

func (l *List) announce(changes []change) {
	if l.opts.Changed == nil {
		return
	}
	for _, c := range changes {
		l.opts.Changed(c.old, c.now)
	}
}
