package replica

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
)

// VersionMap is the shard map of one index version with the replicas known to hold each shard.
type VersionMap struct {
	Version int64
	// Holders lists the replicas of each shard; its length is the number of shards.
	Holders [][]*Replica
}

// View is an immutable picture of a service's replicas.
type View struct {
	// Replicas lists every replica that is not known to be leaving or gone.
	Replicas []*Replica
	// Versions lists the index versions, newest first.
	Versions []VersionMap
}

// Table holds the replicas of one service; readers take a View without locking.
type Table struct {
	mu   sync.Mutex
	all  map[netip.AddrPort]*Replica
	view atomic.Pointer[View]
}

// New returns a table without replicas.
func New() *Table {
	t := &Table{all: map[netip.AddrPort]*Replica{}}
	t.view.Store(&View{})
	return t
}

// View returns the current picture; it must not be changed.
func (t *Table) View() *View { return t.view.Load() }

// Update takes over the platform's list of the service's replicas and returns those added and removed.
func (t *Table) Update(list []platform.Replica) (added, removed []*Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[netip.AddrPort]bool{}
	for _, row := range list {
		seen[row.Addr] = true
		r, ok := t.all[row.Addr]
		if !ok || r.ID != row.ID {
			r = &Replica{ID: row.ID, Addr: row.Addr, Zone: row.Zone}
			t.all[row.Addr] = r
			added = append(added, r)
		}
		if row.State == platform.StateLeaving {
			r.draining.Store(true)
		}
	}
	for addr, r := range t.all {
		if !seen[addr] {
			delete(t.all, addr)
			removed = append(removed, r)
		}
	}
	t.rebuild()
	return added, removed
}

// Heard takes over what a reply said of the replica: the raw version header, and whether it is leaving.
func (t *Table) Heard(r *Replica, holdings string, draining bool) {
	wasDraining := r.draining.Swap(draining || r.draining.Load())
	old := r.raw.Load()
	if holdings == "" || (old != nil && *old == holdings) {
		if draining && !wasDraining {
			t.mu.Lock()
			t.rebuild()
			t.mu.Unlock()
		}
		return
	}
	list, err := upstream.ParseHoldings(holdings)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.raw.Store(&holdings)
	r.holdings = list
	t.rebuild()
}

func (t *Table) rebuild() {
	view := &View{}
	versions := map[int64]*VersionMap{}
	for _, r := range t.all {
		if r.draining.Load() {
			continue
		}
		view.Replicas = append(view.Replicas, r)
		for _, h := range r.holdings {
			addHolding(versions, r, h)
		}
	}
	for _, vm := range versions {
		for _, holders := range vm.Holders {
			slices.SortFunc(holders, compareAddr)
		}
		view.Versions = append(view.Versions, *vm)
	}
	slices.SortFunc(view.Replicas, compareAddr)
	slices.SortFunc(view.Versions, func(a, b VersionMap) int { return int(b.Version - a.Version) })
	t.view.Store(view)
}

// addHolding ignores a replica whose shard count disagrees with the first one heard, since mixing two maps of one version would mix snapshots.
func addHolding(versions map[int64]*VersionMap, r *Replica, h upstream.Holding) {
	vm := versions[h.Version]
	if vm == nil {
		vm = &VersionMap{Version: h.Version, Holders: make([][]*Replica, h.Shards)}
		versions[h.Version] = vm
	}
	if len(vm.Holders) != h.Shards {
		return
	}
	vm.Holders[h.Shard] = append(vm.Holders[h.Shard], r)
}

func compareAddr(a, b *Replica) int { return a.Addr.Compare(b.Addr) }
