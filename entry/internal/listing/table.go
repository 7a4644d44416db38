package listing

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/digest"
)

const (
	// goneFor is how long a removal is remembered. A host that was paused for longer may bring the replica back until
	// the next reading removes it again.
	goneFor = time.Hour
	// aheadMost bounds a stamp of another host, so that none is so high that no reading could exceed it.
	aheadMost = 24 * time.Hour
	// MaxRows bounds the rows held, since they come from other processes: four times the 24,000 of a large fleet with
	// as many removals.
	MaxRows    = 200_000
	pruneEvery = time.Minute
)

// Row is the state of one replica as a watcher read it.
type Row struct {
	Replica platform.Replica
	// Stamp orders the states of a replica: milliseconds of the reading that saw the change, and more than the stamp
	// before it. Zero means that the row was there when a host first read the list, and gives way to any change.
	Stamp int64
	// Gone says that the list no longer holds the replica.
	Gone bool
}

type key struct{ service, id string }

type held struct {
	Row
	place digest.Entry
	// changed is the count of the table's changes when this row came.
	changed uint64
}

// Table holds the rows of all replicas. The platform's list has no versions, and a reading can lag; whatever a reading
// contradicts is therefore stamped above what it contradicts, so that the newest reading wins at every host.
type Table struct {
	clock clock.Clock

	mu      sync.Mutex
	rows    map[key]held
	total   uint64
	changes uint64
	pruned  time.Time
	// list and entries are made anew after a change.
	list     []platform.Replica
	entries  []digest.Entry
	listed   bool
	placed   bool
	received bool
}

// New returns an empty table.
func New(c clock.Clock) *Table { return &Table{clock: c, rows: map[key]held{}} }

// Changes returns the number of changes so far; a reading passes what it was before the reading began.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Read takes over a reading that began at started, when Changes was begun, and returns the rows it changed.
//
// A row that came from another host while the reading was on its way is left to the next reading: this one may be
// older.
func (t *Table) Read(started time.Time, begun uint64, list []platform.Replica) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.received
	t.received = true
	stamp := started.UnixMilli()
	var changed []Row
	there := make(map[key]bool, len(list))
	for _, r := range list {
		k := key{r.Service, r.ID}
		there[k] = true
		have, ok := t.rows[k]
		if have.changed > begun || (ok && !have.Gone && have.Replica == r) || (!ok && len(t.rows) >= MaxRows) {
			continue
		}
		if !ok && first {
			// Every host that starts reads the same; stamped anew, rows that nobody changed would go round.
			t.set(k, Row{Replica: r})
			continue
		}
		changed = append(changed, t.set(k, Row{Replica: r, Stamp: above(stamp, have, ok)}))
	}
	for k, have := range t.rows {
		if !there[k] && !have.Gone && have.changed <= begun {
			changed = append(changed, t.set(k, Row{Replica: have.Replica, Stamp: above(stamp, have, true), Gone: true}))
		}
	}
	return changed
}

func above(stamp int64, have held, ok bool) int64 {
	if !ok {
		return stamp
	}
	return max(stamp, have.Stamp+1)
}

// Merge takes over the rows of another host that are newer, and returns them.
func (t *Table) Merge(rows []Row) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var fresh []Row
	for _, r := range rows {
		k := key{r.Replica.Service, r.Replica.ID}
		have, ok := t.rows[k]
		if r.Stamp < 0 || r.Stamp > now.Add(aheadMost).UnixMilli() || !ok && (len(t.rows) >= MaxRows || expired(r, now)) {
			continue
		}
		if ok && !newer(r, have) {
			continue
		}
		fresh = append(fresh, t.set(k, r))
	}
	return fresh
}

// newer orders by stamp; of two states with one stamp every host keeps the same, whichever it is.
func newer(r Row, have held) bool {
	return cmp.Or(cmp.Compare(r.Stamp, have.Stamp), cmp.Compare(place(r).Sum, have.place.Sum)) > 0
}

func (t *Table) set(k key, r Row) Row {
	t.changes++
	at := place(r)
	t.total ^= t.rows[k].place.Sum ^ at.Sum
	t.rows[k] = held{Row: r, place: at, changed: t.changes}
	t.listed, t.placed = false, false
	return r
}

// List returns the replicas that are listed, ordered by service and ID; the second result is false before anything was
// read or heard. The list is shared and must not be changed.
func (t *Table) List() ([]platform.Replica, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed {
		list := make([]platform.Replica, 0, len(t.rows))
		for _, have := range t.rows {
			if !have.Gone {
				list = append(list, have.Replica)
			}
		}
		slices.SortFunc(list, func(a, b platform.Replica) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
		})
		t.list, t.listed = list, true
	}
	return t.list, t.received || len(t.rows) > 0
}

// Total returns the digest of the whole table.
func (t *Table) Total() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune()
	return t.total
}

// Entries returns the digest entry of every row. The result is shared and must not be changed.
func (t *Table) Entries() []digest.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.placed {
		t.entries = make([]digest.Entry, 0, len(t.rows))
		for _, have := range t.rows {
			t.entries = append(t.entries, have.place)
		}
		t.placed = true
	}
	return t.entries
}

// Rows returns up to most rows below p.
func (t *Table) Rows(p digest.Prefix, most int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Row
	for _, have := range t.rows {
		if len(list) < most && p.Holds(have.place.Key) {
			list = append(list, have.Row)
		}
	}
	return list
}

// prune forgets old removals, which would otherwise pile up with every deployment.
func (t *Table) prune() {
	now := t.clock.Now()
	if now.Sub(t.pruned) < pruneEvery {
		return
	}
	t.pruned = now
	for k, have := range t.rows {
		if expired(have.Row, now) {
			t.total ^= have.place.Sum
			delete(t.rows, k)
			t.placed = false
		}
	}
}

func expired(r Row, now time.Time) bool {
	return r.Gone && now.Sub(time.UnixMilli(r.Stamp)) > goneFor
}

func place(r Row) digest.Entry {
	p := r.Replica
	k := hash(p.Service, p.ID)
	return digest.Entry{Key: k, Sum: hash(p.Service, p.ID, p.Addr.String(), p.Zone, string(p.State), strconv.FormatInt(r.Stamp, 10), strconv.FormatBool(r.Gone))}
}

// hash spreads the low bits of FNV over the high ones, which the prefixes use.
func hash(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		// Writing to a hash returns no error.
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64() * 0x9e3779b97f4a7c15
}
