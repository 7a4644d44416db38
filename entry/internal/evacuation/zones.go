package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/events"
)

// Options configures Zones.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Changed is called after each update of the evacuated zones; nil means that no function is called.
	Changed func()
}

// Zones holds the evacuated availability zones.
//
// An operator evacuates a zone when its replicas are about to lose power or return wrong records: a request that is
// still sent there may fail or get a wrong response, while the replicas of other zones could have served it. Each
// choice of a replica checks the evacuations, and a request that waited for a connection checks them again before its
// first byte is sent, so that no path to a replica bypasses them.
type Zones struct {
	opts Options

	mu sync.Mutex
	// since holds the evacuated zones with the time at which this host received each evacuation.
	since map[string]time.Time
	// names holds the same zones for lock-free reads, since each choice of a replica checks each candidate.
	names atomic.Pointer[map[string]bool]
	known atomic.Bool
}

// New returns Zones without any evacuation.
func New(opts Options) *Zones {
	if opts.Changed == nil {
		opts.Changed = func() {}
	}
	z := &Zones{opts: opts, since: map[string]time.Time{}}
	z.names.Store(&map[string]bool{})
	return z
}

// Has reports whether a zone is evacuated, so that nothing may be sent to its replicas.
func (z *Zones) Has(zone string) bool { return (*z.names.Load())[zone] }

// Known reports whether a full list of evacuations was ever received.
func (z *Zones) Known() bool { return z.known.Load() }

// Names returns the evacuated zones in ascending order.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(*z.names.Load())) }

// Replace applies a full list of evacuations. A zone that is missing from it is released, although its release was
// never received.
func (z *Zones) Replace(batch feed.Batch[platform.Evacuation]) {
	z.mu.Lock()
	listed := map[string]bool{}
	for _, e := range batch.Entries {
		listed[e.Name] = true
	}
	for zone := range z.since {
		if !listed[zone] {
			z.release(zone)
		}
	}
	z.apply(batch.Entries)
	z.mu.Unlock()
	z.known.Store(true)
	z.opts.Changed()
}

// Change applies evacuations that were created or deleted.
func (z *Zones) Change(batch feed.Batch[platform.Evacuation]) {
	z.mu.Lock()
	z.apply(batch.Entries)
	z.mu.Unlock()
	z.opts.Changed()
}

// apply adds and releases the zones of the entries. An entry whose spec can't be read, or that is being deleted but
// still has finalizers, counts as an evacuation: as long as the object exists its name is sufficient, and avoiding a
// zone by mistake costs less than using one by mistake.
func (z *Zones) apply(entries []feed.Entry[platform.Evacuation]) {
	for _, e := range entries {
		_, evacuated := z.since[e.Name]
		switch {
		case e.Name == "":
			// The entry names no zone.
		case e.Deleted && evacuated:
			z.release(e.Name)
		case !e.Deleted && !evacuated:
			z.since[e.Name] = z.opts.Clock.Now()
			events.ZoneEvacuated.Log(z.opts.Log, "zone", e.Name, "revision", e.Revision)
		}
	}
	names := make(map[string]bool, len(z.since))
	for zone := range z.since {
		names[zone] = true
	}
	z.names.Store(&names)
}

func (z *Zones) release(zone string) {
	events.ZoneReleased.Log(z.opts.Log, "zone", zone, "after", z.opts.Clock.Now().Sub(z.since[zone]).String())
	delete(z.since, zone)
}
