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
	// goneFor is the time for which a removed replica is kept as a tombstone. A host that was paused for longer may
	// add the replica again until the next read of the list removes it.
	goneFor = time.Hour
	// aheadMost is how far in the future the stamp of another host may lie. A stamp beyond all clocks would let the row
	// win over every later read of the list.
	aheadMost = 24 * time.Hour
	// MaxRows limits the number of rows, since they come from other processes. It is four times the rows of a large
	// fleet: 24,000 replicas and as many tombstones.
	MaxRows = 200_000
	// pruneEvery is the interval at which expired tombstones are deleted.
	pruneEvery = time.Minute
)

// Row is the state of one replica as read from the platform's list.
type Row struct {
	Replica platform.Replica
	// Stamp orders the states of a replica; the highest wins. It is the Unix time in milliseconds of the read that found
	// the change, or the previous stamp plus one if that is higher. Zero marks a row that a host found in its first read
	// of the list; any change has a higher stamp.
	Stamp int64
	// Gone marks a tombstone: the replica is no longer in the list.
	Gone bool
}

type key struct{ service, id string }

type held struct {
	Row
	place digest.Entry
	// changed is the table's change count after this row was set.
	changed uint64
}

// Table holds the rows of all replicas. The platform's list has no versions and a read can return a stale list. A row
// that a read changes therefore gets a higher stamp than the row it replaces: the latest read wins on all hosts.
type Table struct {
	clock clock.Clock

	mu   sync.Mutex
	rows map[key]held
	// total is the XOR of the sums of all rows.
	total   uint64
	changes uint64
	pruned  time.Time
	// list and entries are caches; listed and placed report whether they are up to date.
	list     []platform.Replica
	entries  []digest.Entry
	listed   bool
	placed   bool
	received bool
}

// New returns an empty table.
func New(c clock.Clock) *Table { return &Table{clock: c, rows: map[key]held{}} }

// Changes returns the number of changes so far. Take it before a read of the platform's list and pass it to Read.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Read applies a list that was read from the platform and returns the rows it changed. The read began at started, when
// Changes returned begun.
//
// Rows that another host changed during the read stay as they are until the next read, since this list may be older.
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
			// All hosts find the same rows in their first read. With new stamps the hosts would exchange them all as
			// changes.
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

// above returns stamp, raised above that of the present row if there is one.
func above(stamp int64, have held, ok bool) int64 {
	if !ok {
		return stamp
	}
	return max(stamp, have.Stamp+1)
}

// Merge applies those rows of another host that are newer, and returns them.
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

// newer reports whether r replaces have. Equal stamps are ordered by digest sum, so that all hosts keep the same row.
func newer(r Row, have held) bool {
	return cmp.Or(cmp.Compare(r.Stamp, have.Stamp), cmp.Compare(place(r).Sum, have.place.Sum)) > 0
}

// set stores a row, updates the total and invalidates the caches.
func (t *Table) set(k key, r Row) Row {
	t.changes++
	at := place(r)
	t.total ^= t.rows[k].place.Sum ^ at.Sum
	t.rows[k] = held{Row: r, place: at, changed: t.changes}
	t.listed, t.placed = false, false
	return r
}

// List returns the listed replicas ordered by service and ID. The second result is false until the first read or the
// first row of another host. The list is shared and must not be changed.
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

// Rows returns at most most rows with the prefix p.
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

// prune deletes expired tombstones, which would otherwise accumulate with every deployment.
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

// expired reports whether r is a tombstone older than goneFor.
func expired(r Row, now time.Time) bool {
	return r.Gone && now.Sub(time.UnixMilli(r.Stamp)) > goneFor
}

// place returns the digest entry of a row.
func place(r Row) digest.Entry {
	p := r.Replica
	k := hash(p.Service, p.ID)
	return digest.Entry{Key: k, Sum: hash(p.Service, p.ID, p.Addr.String(), p.Zone, string(p.State), strconv.FormatInt(r.Stamp, 10), strconv.FormatBool(r.Gone))}
}

// hash returns the FNV-1a hash of the parts. The multiplication spreads the low bits over the high ones, which the
// prefixes use.
func hash(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		// Write of a hash never returns an error.
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64() * 0x9e3779b97f4a7c15
}
