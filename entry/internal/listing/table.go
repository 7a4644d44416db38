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
	// tombstoneTTL is the time for which a removed replica is kept as a tombstone. A host that was paused for longer
	// may add the replica again until the next read of the list removes it.
	tombstoneTTL = time.Hour
	// maxStampAhead is how far in the future the stamp of another host may lie. A stamp beyond all clocks would let the
	// row win over every later read of the list.
	maxStampAhead = 24 * time.Hour
	// MaxRows limits the number of rows, since they come from other processes. It is four times the rows of a large
	// fleet: 24,000 replicas and as many tombstones.
	MaxRows = 200_000
	// pruneInterval is the interval at which expired tombstones are deleted.
	pruneInterval = time.Minute
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

type storedRow struct {
	Row
	digestEntry digest.Entry
	// changedAt is the table's change count after this row was set.
	changedAt uint64
}

// Table holds the rows of all replicas. The platform's list has no versions and a read can return a stale list. A row
// that a read changes therefore gets a higher stamp than the row it replaces: the latest read wins on all hosts.
type Table struct {
	clock clock.Clock

	mu   sync.Mutex
	rows map[key]storedRow
	// total is the XOR of the sums of all rows.
	total     uint64
	changes   uint64
	lastPrune time.Time
	// list and entries are caches; listValid and entriesValid report whether they are up to date.
	list         []platform.Replica
	entries      []digest.Entry
	listValid    bool
	entriesValid bool
	hasRead      bool
}

// New returns an empty table.
func New(c clock.Clock) *Table { return &Table{clock: c, rows: map[key]storedRow{}} }

// Changes returns the number of changes so far. Take it before a read of the platform's list and pass it to ApplyRead.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// ApplyRead applies a list that was read from the platform and returns the rows it changed. The read began at started,
// when Changes returned changesBefore.
//
// Rows that another host changed during the read stay as they are until the next read, since this list may be older.
func (t *Table) ApplyRead(started time.Time, changesBefore uint64, list []platform.Replica) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.hasRead
	t.hasRead = true
	stamp := started.UnixMilli()
	var changed []Row
	present := make(map[key]bool, len(list))
	for _, r := range list {
		k := key{r.Service, r.ID}
		present[k] = true
		have, ok := t.rows[k]
		if have.changedAt > changesBefore || (ok && !have.Gone && have.Replica == r) || (!ok && len(t.rows) >= MaxRows) {
			continue
		}
		if !ok && first {
			// All hosts find the same rows in their first read. With new stamps the hosts would exchange them all as
			// changes.
			t.set(k, Row{Replica: r})
			continue
		}
		changed = append(changed, t.set(k, Row{Replica: r, Stamp: nextStamp(stamp, have, ok)}))
	}
	for k, have := range t.rows {
		if !present[k] && !have.Gone && have.changedAt <= changesBefore {
			changed = append(changed, t.set(k, Row{Replica: have.Replica, Stamp: nextStamp(stamp, have, true), Gone: true}))
		}
	}
	return changed
}

// nextStamp returns stamp, raised above that of the present row if there is one.
func nextStamp(stamp int64, have storedRow, ok bool) int64 {
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
		if r.Stamp < 0 || r.Stamp > now.Add(maxStampAhead).UnixMilli() || !ok && (len(t.rows) >= MaxRows || tombstoneExpired(r, now)) {
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
func newer(r Row, have storedRow) bool {
	return cmp.Or(cmp.Compare(r.Stamp, have.Stamp), cmp.Compare(digestOf(r).Sum, have.digestEntry.Sum)) > 0
}

// set stores a row, updates the total and invalidates the caches.
func (t *Table) set(k key, r Row) Row {
	t.changes++
	entry := digestOf(r)
	t.total ^= t.rows[k].digestEntry.Sum ^ entry.Sum
	t.rows[k] = storedRow{Row: r, digestEntry: entry, changedAt: t.changes}
	t.listValid, t.entriesValid = false, false
	return r
}

// List returns the listed replicas ordered by service and ID. The second result is false until the first read or the
// first row of another host. The list is shared and must not be changed.
func (t *Table) List() ([]platform.Replica, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listValid {
		list := make([]platform.Replica, 0, len(t.rows))
		for _, have := range t.rows {
			if !have.Gone {
				list = append(list, have.Replica)
			}
		}
		slices.SortFunc(list, func(a, b platform.Replica) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
		})
		t.list, t.listValid = list, true
	}
	return t.list, t.hasRead || len(t.rows) > 0
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
	if !t.entriesValid {
		t.entries = make([]digest.Entry, 0, len(t.rows))
		for _, have := range t.rows {
			t.entries = append(t.entries, have.digestEntry)
		}
		t.entriesValid = true
	}
	return t.entries
}

// Rows returns at most limit rows with the prefix p.
func (t *Table) Rows(p digest.Prefix, limit int) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Row
	for _, have := range t.rows {
		if len(list) < limit && p.Contains(have.digestEntry.Key) {
			list = append(list, have.Row)
		}
	}
	return list
}

// prune deletes expired tombstones, which would otherwise accumulate with every deployment.
func (t *Table) prune() {
	now := t.clock.Now()
	if now.Sub(t.lastPrune) < pruneInterval {
		return
	}
	t.lastPrune = now
	for k, have := range t.rows {
		if tombstoneExpired(have.Row, now) {
			t.total ^= have.digestEntry.Sum
			delete(t.rows, k)
			t.entriesValid = false
		}
	}
}

// tombstoneExpired reports whether r is a tombstone older than tombstoneTTL.
func tombstoneExpired(r Row, now time.Time) bool {
	return r.Gone && now.Sub(time.UnixMilli(r.Stamp)) > tombstoneTTL
}

// digestOf returns the digest entry of a row.
func digestOf(r Row) digest.Entry {
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
