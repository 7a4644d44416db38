package replica

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
)

// claimsYield is how long a reply's own headers outrank what the health endpoint claims, which lags or misleads.
const claimsYield = 5 * time.Second

// VersionMap is the shard map of one index version with the replicas known to hold each shard.
type VersionMap struct {
	Version int64
	// Holders lists the replicas of each shard; its length is the number of shards.
	Holders [][]*Replica
	// Least is the number of replicas of the shard that has fewest; zero means that a shard has none.
	Least int
	// Held is the number of shards that have a replica.
	Held int
}

// Complete reports whether every shard has a replica.
func (vm VersionMap) Complete() bool { return vm.Least > 0 }

// Share returns the share of shards that have a replica, between 0 and 1.
func (vm VersionMap) Share() float64 {
	if len(vm.Holders) == 0 {
		return 0
	}
	return float64(vm.Held) / float64(len(vm.Holders))
}

// Same reports whether both are maps of one version with one number of shards.
func (vm VersionMap) Same(other VersionMap) bool {
	return vm.Version == other.Version && len(vm.Holders) == len(other.Holders)
}

// View is an immutable picture of a service's replicas.
type View struct {
	// Replicas lists every replica that is not known to be leaving or gone.
	Replicas []*Replica
	// Versions lists the shard maps, newest version first; of two maps of one version the fuller comes first.
	Versions []VersionMap
}

// Options configures a Table.
type Options struct {
	// Clock tells the time; nil means the system's.
	Clock clock.Clock
	// Zone is this host's availability zone.
	Zone string
	// Draining is told once of each replica that is found to be leaving, and by which sign; it may be nil and must not
	// call the table.
	Draining func(r *Replica, sign string)
	// Doubted is told when a list omitted so many of the live replicas that those which still answer were kept; it may
	// be nil.
	Doubted func(omitted, live int)
}

// Table holds the replicas of one service; readers take a View without locking.
type Table struct {
	opts Options
	mu   sync.Mutex
	all  map[netip.AddrPort]*Replica
	view atomic.Pointer[View]
}

// New returns a table without replicas.
func New(opts Options) *Table {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Draining == nil {
		opts.Draining = func(*Replica, string) {}
	}
	if opts.Doubted == nil {
		opts.Doubted = func(int, int) {}
	}
	t := &Table{opts: opts, all: map[netip.AddrPort]*Replica{}}
	t.view.Store(&View{})
	return t
}

// View returns the current picture; it must not be changed.
func (t *Table) View() *View { return t.view.Load() }

// Unheard returns the replicas of which no recent reply is known, and so those whose health endpoint is worth asking.
func (t *Table) Unheard() []*Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Replica
	for _, r := range t.all {
		if !r.draining.Load() && !t.recent(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareAddr)
	return list
}

// recent reports whether a reply's own headers are fresh enough to outrank a claim.
func (t *Table) recent(r *Replica) bool { return t.since(&r.heard) < claimsYield }

func (t *Table) since(at *atomic.Int64) time.Duration {
	return t.opts.Clock.Now().Sub(time.Unix(0, at.Load()))
}

// Update takes over the platform's list of the service's replicas and returns those added and removed.
func (t *Table) Update(list []platform.Replica) (added, removed []*Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.rowsOf(list)
	now, first := t.opts.Clock.Now(), len(t.all) == 0
	removed = t.dropOmitted(rows)
	for addr, row := range rows {
		r, ok := t.all[addr]
		if !ok || r.ID != row.ID {
			if ok {
				removed = append(removed, r)
			}
			// Another ID at the same address is another process: nothing learned of the old one holds for it.
			r = &Replica{ID: row.ID, Addr: row.Addr, Zone: row.Zone, Near: row.Zone == t.opts.Zone, epoch: now}
			if !first {
				// It has just started, and its caches are cold; at the host's own start nothing is known of any
				// replica, and all are used.
				r.Eject.Hold(now)
			}
			t.all[addr] = r
			added = append(added, r)
		}
		if row.State == platform.StateLeaving {
			t.drain(r, "the platform's list")
		}
	}
	t.rebuild()
	slices.SortFunc(added, compareAddr)
	return added, removed
}

// rowsOf returns one row for each address. A list that lags names both the process that left an address and
// the one that came; taking each in turn would forget, at every reading of the list, all that was learned of
// the second. A live row goes before a leaving one, and of two live ones the one that is in use.
func (t *Table) rowsOf(list []platform.Replica) map[netip.AddrPort]platform.Replica {
	rows := make(map[netip.AddrPort]platform.Replica, len(list))
	for _, row := range list {
		other, twice := rows[row.Addr]
		if !twice || t.prefer(row, other) {
			rows[row.Addr] = row
		}
	}
	return rows
}

func (t *Table) prefer(row, other platform.Replica) bool {
	if row.State != other.State {
		return other.State == platform.StateLeaving
	}
	r := t.all[row.Addr]
	if r == nil {
		return false
	}
	inUse := row.ID
	if r.draining.Load() {
		inUse = other.ID
	}
	return r.ID == inUse
}

// dropOmitted removes the replicas that the list no longer names.
//
// It answers a list that is suddenly short or empty, as after an outage of the platform. Believed, it would
// leave the service without replicas while all of them serve. Where a list omits more than half at once,
// those that still answer are kept; a replica that has truly gone doesn't answer, and goes then. A few
// omissions are believed at once, since they may be the only sign that a replica is leaving.
func (t *Table) dropOmitted(rows map[netip.AddrPort]platform.Replica) []*Replica {
	var omitted []*Replica
	live := 0
	for addr, r := range t.all {
		if r.draining.Load() {
			continue
		}
		live++
		if _, ok := rows[addr]; !ok {
			omitted = append(omitted, r)
		}
	}
	doubtful := 2*len(omitted) > live
	var removed []*Replica
	for addr, r := range t.all {
		_, named := rows[addr]
		if named || (doubtful && !r.draining.Load() && t.since(&r.answered) < claimsYield) {
			continue
		}
		delete(t.all, addr)
		removed = append(removed, r)
	}
	if doubtful && len(removed) < len(omitted) {
		t.opts.Doubted(len(omitted), live)
	}
	return removed
}

// MarkDraining takes over that the replica with the id is leaving, and reports whether it is known here.
func (t *Table) MarkDraining(id, sign string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.all {
		if r.ID == id {
			if t.drain(r, sign) {
				t.rebuild()
			}
			return true
		}
	}
	return false
}

// Heard takes over what a reply said of its replica: the raw version header, and whether it is leaving.
func (t *Table) Heard(r *Replica, holdings string, draining bool) {
	if holdings != "" {
		now := t.opts.Clock.Now().UnixNano()
		r.heard.Store(now)
		r.answered.Store(now)
	}
	old := r.raw.Load()
	same := holdings == "" || (old != nil && *old == holdings)
	if same && (!draining || r.Draining()) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := draining && t.drain(r, "a reply's header")
	if !same {
		changed = r.takeHoldings(holdings) || changed
	}
	if changed {
		t.rebuild()
	}
}

// Claimed takes over what the health endpoint says, but nothing that contradicts a recent reply.
//
// The endpoint lags or misleads: it names versions that the replica refuses, and replicas that serve as
// leaving. A claim to be leaving is therefore kept only as long as the endpoint repeats it.
func (t *Table) Claimed(r *Replica, holdings string, draining bool) {
	r.answered.Store(t.opts.Clock.Now().UnixNano())
	if t.recent(r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := r.claimed.Swap(draining) != draining
	if old := r.raw.Load(); holdings != "" && (old == nil || *old != holdings) {
		changed = r.takeHoldings(holdings) || changed
	}
	if changed {
		t.rebuild()
	}
}

// Gone takes over that the replica refused the version; what it did outranks what any header or endpoint names.
func (t *Table) Gone(r *Replica, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.gone == nil {
		r.gone = map[int64]time.Time{}
	}
	r.gone[version] = t.opts.Clock.Now()
	t.rebuild()
}

// drain notes that r is leaving and reports whether that is news.
func (t *Table) drain(r *Replica, sign string) bool {
	if r.draining.Swap(true) {
		return false
	}
	t.opts.Draining(r, sign)
	return true
}

// mapKey tells two maps of one version apart: replicas that disagree on the number of shards never share a map.
type mapKey struct {
	version int64
	shards  int
}

func (t *Table) rebuild() {
	now := t.opts.Clock.Now()
	view := &View{Replicas: make([]*Replica, 0, len(t.all))}
	for _, r := range t.all {
		if !r.Draining() {
			view.Replicas = append(view.Replicas, r)
		}
	}
	slices.SortFunc(view.Replicas, compareAddr)
	maps := map[mapKey]*VersionMap{}
	for _, r := range view.Replicas {
		for _, h := range r.holdings {
			if !r.refused(h.Version, now) {
				addHolding(maps, r, h)
			}
		}
	}
	for _, vm := range maps {
		vm.count()
		view.Versions = append(view.Versions, *vm)
	}
	slices.SortFunc(view.Versions, compareMaps)
	t.view.Store(view)
}

func addHolding(maps map[mapKey]*VersionMap, r *Replica, h upstream.Holding) {
	key := mapKey{h.Version, h.Shards}
	vm := maps[key]
	if vm == nil {
		vm = &VersionMap{Version: h.Version, Holders: make([][]*Replica, h.Shards)}
		maps[key] = vm
	}
	if !slices.Contains(vm.Holders[h.Shard], r) {
		vm.Holders[h.Shard] = append(vm.Holders[h.Shard], r)
	}
}

func (vm *VersionMap) count() {
	vm.Least = len(vm.Holders[0])
	for _, holders := range vm.Holders {
		vm.Least = min(vm.Least, len(holders))
		if len(holders) > 0 {
			vm.Held++
		}
	}
}

func compareMaps(a, b VersionMap) int {
	return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(b.Least, a.Least),
		cmp.Compare(b.Share(), a.Share()), cmp.Compare(len(a.Holders), len(b.Holders)))
}

func compareAddr(a, b *Replica) int { return a.Addr.Compare(b.Addr) }
