package snapshot

import (
	"sync"

	"guavaspring.org/entry/internal/replica"
)

// wantHolders is how many replicas of a shard should hold a version before queries move to it: with one, a single slow
// replica has no alternative, and the whole load of its shard moves to it at once.
const wantHolders = 2

// Options configures a Picker.
type Options struct {
	// Moved is told when queries move from one shard map to another; it may be nil.
	Moved func(from, to replica.VersionMap)
}

// Picker decides which version the queries of one service are pinned to, and remembers the last.
//
// It answers versions that come and go while queries run. Without the memory, queries swing between two
// versions whenever a replica is lost, and a caller sees results go back in time. The rules, in order:
// stay while the version is complete; move to a newer one that every shard holds twice, or once where the
// version in use has no more either; go back only when no newer version is complete; and where none is
// complete, take the one with the largest share of shards held.
type Picker struct {
	opts Options
	mu   sync.Mutex
	last replica.VersionMap
}

// New returns a picker without memory.
func New(opts Options) *Picker {
	if opts.Moved == nil {
		opts.Moved = func(_, _ replica.VersionMap) {}
	}
	return &Picker{opts: opts}
}

// Pick returns the map that a query is pinned to, or false where no version is known.
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

func pick(versions []replica.VersionMap, last replica.VersionMap) (replica.VersionMap, bool) {
	need := wantHolders
	for _, vm := range versions {
		if vm.Same(last) {
			need = min(need, max(1, vm.Least))
		}
	}
	if vm, ok := newest(versions, need, last.Version); ok {
		return vm, true
	}
	if vm, ok := newest(versions, 1, last.Version); ok {
		return vm, true
	}
	if vm, ok := newest(versions, wantHolders, 0); ok {
		return vm, true
	}
	if vm, ok := newest(versions, 1, 0); ok {
		return vm, true
	}
	return fullest(versions)
}

// newest returns the newest map, at or after the version, of which every shard has need holders.
func newest(versions []replica.VersionMap, need int, from int64) (replica.VersionMap, bool) {
	for _, vm := range versions {
		if vm.Version >= from && vm.Least >= need {
			return vm, true
		}
	}
	return replica.VersionMap{}, false
}

func fullest(versions []replica.VersionMap) (replica.VersionMap, bool) {
	var best replica.VersionMap
	for _, vm := range versions {
		if vm.Share() > best.Share() {
			best = vm
		}
	}
	return best, len(best.Holders) > 0
}
