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

// replyPrecedence is the time for which the headers of a reply take precedence over the health endpoint, whose data may
// be outdated or wrong. It is also the time after its last answer for which a replica that a list omits may be kept.
const replyPrecedence = 5 * time.Second

// VersionMap is the shard map of one index version, with the replicas that hold each shard.
type VersionMap struct {
	Version int64
	// Holders lists the replicas of each shard; its length is the number of shards.
	Holders [][]*Replica
	// Least is the number of replicas of the shard with the fewest; zero means that a shard has none.
	Least int
	// Held is the number of shards with at least one replica.
	Held int
}

// Complete reports whether every shard has a replica.
func (vm VersionMap) Complete() bool { return vm.Least > 0 }

// Share returns the share of shards with at least one replica, between 0 and 1.
func (vm VersionMap) Share() float64 {
	if len(vm.Holders) == 0 {
		return 0
	}
	return float64(vm.Held) / float64(len(vm.Holders))
}

// Same reports whether both maps have the same index version and number of shards.
func (vm VersionMap) Same(other VersionMap) bool {
	return vm.Version == other.Version && len(vm.Holders) == len(other.Holders)
}

// View is an immutable snapshot of a service's replicas and shard maps.
type View struct {
	// Replicas lists every replica that is not draining.
	Replicas []*Replica
	// Versions lists the shard maps, newest version first. Of two maps of one version, the one whose least replicated
	// shard has more replicas comes first, then the one with more shards held.
	Versions []VersionMap
}

// Options configures a Table.
type Options struct {
	// Clock returns the current time; nil means the system's clock.
	Clock clock.Clock
	// Zone is this host's availability zone.
	Zone string
	// Draining is called once for each replica that starts to drain, with the source of that information. It may be nil
	// and must not call the table.
	Draining func(r *Replica, sign string)
	// Doubted is called when a list omits so many of the live replicas that those which still answer are kept. It may
	// be nil.
	Doubted func(omitted, live int)
}

// Table holds the replicas of one service. View returns its current state without locking.
type Table struct {
	opts   Options
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*Replica
	view   atomic.Pointer[View]
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
	t := &Table{opts: opts, byAddr: map[netip.AddrPort]*Replica{}}
	t.view.Store(&View{})
	return t
}

// View returns the current snapshot, which must not be changed.
func (t *Table) View() *View { return t.view.Load() }

// Unheard returns the replicas without a recent reply, whose health endpoints are to be polled.
func (t *Table) Unheard() []*Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Replica
	for _, r := range t.byAddr {
		if !r.draining.Load() && !t.repliedRecently(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareAddr)
	return list
}

// repliedRecently reports whether the headers of r's last reply are recent enough to take precedence over its health
// endpoint.
func (t *Table) repliedRecently(r *Replica) bool { return t.since(&r.holdingsAt) < replyPrecedence }

func (t *Table) since(at *atomic.Int64) time.Duration {
	return t.opts.Clock.Now().Sub(time.Unix(0, at.Load()))
}

// Update applies the platform's list of the service's replicas and returns the replicas added and removed.
func (t *Table) Update(list []platform.Replica) (added, removed []*Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := t.rowByAddr(list)
	now, first := t.opts.Clock.Now(), len(t.byAddr) == 0
	removed = t.dropOmitted(rows)
	for addr, row := range rows {
		r, ok := t.byAddr[addr]
		if !ok || r.ID != row.ID {
			if ok {
				removed = append(removed, r)
			}
			// Another ID at the same address is another process, so the state of the old one is discarded.
			r = &Replica{ID: row.ID, Addr: row.Addr, Zone: row.Zone, Near: row.Zone == t.opts.Zone, epoch: now}
			if !first {
				// The replica has just started and its caches are cold. In the first list after the start of this
				// host, replicas are of unknown age, and all are used.
				r.Eject.RequireProbe(now)
			}
			t.byAddr[addr] = r
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

// rowByAddr returns one row for each address. An outdated list names both the old and the new process at an address;
// applying both rows in turn would discard the state of the new process at every update. A live row takes precedence
// over a leaving one, and of two live rows the one that is in use.
func (t *Table) rowByAddr(list []platform.Replica) map[netip.AddrPort]platform.Replica {
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
	r := t.byAddr[row.Addr]
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
// After an outage of the platform the list may be short or empty for a while, although all replicas serve; applied as
// it is, it would leave the service without replicas. If a list omits more than half of the live replicas, those that
// still answer are therefore kept; a replica that has stopped does not answer and is removed. Fewer omissions are
// applied at once, since they may be the only sign that a replica is leaving.
func (t *Table) dropOmitted(rows map[netip.AddrPort]platform.Replica) []*Replica {
	var omitted []*Replica
	live := 0
	for addr, r := range t.byAddr {
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
	for addr, r := range t.byAddr {
		_, named := rows[addr]
		if named || (doubtful && !r.draining.Load() && t.since(&r.answeredAt) < replyPrecedence) {
			continue
		}
		delete(t.byAddr, addr)
		removed = append(removed, r)
	}
	if doubtful && len(removed) < len(omitted) {
		t.opts.Doubted(len(omitted), live)
	}
	return removed
}

// MarkDraining marks the replica with the id as draining and reports whether it is in the table.
func (t *Table) MarkDraining(id, sign string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byAddr {
		if r.ID == id {
			if t.drain(r, sign) {
				t.rebuild()
			}
			return true
		}
	}
	return false
}

// ApplyReply applies the headers of a reply of r: the holdings, unparsed, and whether r is draining.
func (t *Table) ApplyReply(r *Replica, holdings string, draining bool) {
	if holdings != "" {
		now := t.opts.Clock.Now().UnixNano()
		r.holdingsAt.Store(now)
		r.answeredAt.Store(now)
	}
	old := r.rawHoldings.Load()
	same := holdings == "" || (old != nil && *old == holdings)
	if same && (!draining || r.Draining()) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := draining && t.drain(r, "a reply's header")
	if !same {
		changed = r.setHoldings(holdings) || changed
	}
	if changed {
		t.rebuild()
	}
}

// ApplyHealthCheck applies the data of r's health endpoint, unless there is a recent reply of r.
//
// The endpoint may be outdated or wrong: it may name index versions that the replica rejects, or report a serving
// replica as draining. A replica therefore counts as draining by its endpoint only as long as the endpoint repeats it.
func (t *Table) ApplyHealthCheck(r *Replica, holdings string, draining bool) {
	r.answeredAt.Store(t.opts.Clock.Now().UnixNano())
	if t.repliedRecently(r) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := r.claimedDraining.Swap(draining) != draining
	if old := r.rawHoldings.Load(); holdings != "" && (old == nil || *old != holdings) {
		changed = r.setHoldings(holdings) || changed
	}
	if changed {
		t.rebuild()
	}
}

// Gone records that the replica rejected the index version. A rejection takes precedence over the holdings named by its
// headers and its health endpoint.
func (t *Table) Gone(r *Replica, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.rejected == nil {
		r.rejected = map[int64]time.Time{}
	}
	r.rejected[version] = t.opts.Clock.Now()
	t.rebuild()
}

// drain marks r as draining and reports whether it was not marked before.
func (t *Table) drain(r *Replica, sign string) bool {
	if r.draining.Swap(true) {
		return false
	}
	t.opts.Draining(r, sign)
	return true
}

// mapKey identifies a shard map. Replicas that disagree on the number of shards of a version never share a map.
type mapKey struct {
	version int64
	shards  int
}

func (t *Table) rebuild() {
	now := t.opts.Clock.Now()
	view := &View{Replicas: make([]*Replica, 0, len(t.byAddr))}
	for _, r := range t.byAddr {
		if !r.Draining() {
			view.Replicas = append(view.Replicas, r)
		}
	}
	slices.SortFunc(view.Replicas, compareAddr)
	maps := map[mapKey]*VersionMap{}
	for _, r := range view.Replicas {
		for _, h := range r.holdings {
			if !r.rejects(h.Version, now) {
				addHolding(maps, r, h)
			}
		}
	}
	for _, vm := range maps {
		vm.countHolders()
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

func (vm *VersionMap) countHolders() {
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
