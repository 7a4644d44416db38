package snapshot

import (
	"sync"

	"guavaspring.org/entry/internal/replica"
)

// preferredHolders is the number of replicas of each shard that should hold a version before queries move to it. With a
// single one, the whole load of the shard moves to it at once, and there is no other replica if it is slow.
const preferredHolders = 2

// Options configures a Picker.
type Options struct {
	// Moved is called when queries move from one shard map to another; it may be nil.
	Moved func(from, to replica.VersionMap)
}

// Picker selects the index version for the queries of one service and stores the last selection.
//
// Versions appear and disappear while queries run. Without the last selection, queries would alternate between two
// versions whenever a replica is lost, and a caller would see older results after newer ones. The rules, in order:
// keep the version while it is complete; move to a newer one that has two holders of every shard, or one holder if the
// version in use has no more; move back only if no newer version is complete; if none is complete, use the version with
// the largest share of shards held.
type Picker struct {
	opts Options
	mu   sync.Mutex
	last replica.VersionMap
}

// New returns a Picker that has selected no version yet.
func New(opts Options) *Picker {
	if opts.Moved == nil {
		opts.Moved = func(_, _ replica.VersionMap) {}
	}
	return &Picker{opts: opts}
}

// Pick returns the shard map that a query is pinned to, or false if no version is known.
func (p *Picker) Pick(view *replica.View) (replica.VersionMap, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := pick(view.Versions, p.last)
	if !ok {
		return vm, false
	}
	if !vm.Same(p.last) {
		p.opts.Moved(p.last, vm)
	}
	p.last = vm
	return vm, true
}

// pick applies the rules of Picker to versions, which are sorted from newest to oldest.
func pick(versions []replica.VersionMap, last replica.VersionMap) (replica.VersionMap, bool) {
	minHolders := preferredHolders
	for _, vm := range versions {
		if vm.Same(last) {
			minHolders = min(minHolders, max(1, vm.Least))
		}
	}
	if vm, ok := newest(versions, minHolders, last.Version); ok {
		return vm, true
	}
	if vm, ok := newest(versions, 1, last.Version); ok {
		return vm, true
	}
	if vm, ok := newest(versions, preferredHolders, 0); ok {
		return vm, true
	}
	if vm, ok := newest(versions, 1, 0); ok {
		return vm, true
	}
	return largestShare(versions)
}

// newest returns the newest map at or after minVersion of which every shard has at least minHolders holders.
func newest(versions []replica.VersionMap, minHolders int, minVersion int64) (replica.VersionMap, bool) {
	for _, vm := range versions {
		if vm.Version >= minVersion && vm.Least >= minHolders {
			return vm, true
		}
	}
	return replica.VersionMap{}, false
}

// largestShare returns the map with the largest share of shards held.
func largestShare(versions []replica.VersionMap) (replica.VersionMap, bool) {
	var best replica.VersionMap
	for _, vm := range versions {
		if vm.Share() > best.Share() {
			best = vm
		}
	}
	return best, len(best.Holders) > 0
}
