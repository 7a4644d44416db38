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
	// Changed is told after the evacuated zones have changed; nil means nobody is.
	Changed func()
}

// Zones holds the evacuated availability zones.
//
// It answers an operator who takes a zone out: its replicas are about to lose power, or hand out wrong records. Each
// request that still goes there may be lost or be wrong, while the replicas of the other zones could have served it.
// Every choice of a replica asks here, and what waited for a connection asks again before its first byte leaves, so
// that no path to a replica goes around the order.
type Zones struct {
	opts Options

	mu sync.Mutex
	// since holds the evacuated zones, and when this host learned of each.
	since map[string]time.Time
	// names holds the same zones for readers, who ask for each replica of each choice.
	names atomic.Pointer[map[string]bool]
	known atomic.Bool
}

// New returns Zones that know of no order yet.
func New(opts Options) *Zones {
	if opts.Changed == nil {
		opts.Changed = func() {}
	}
	z := &Zones{opts: opts, since: map[string]time.Time{}}
	z.names.Store(&map[string]bool{})
	return z
}

// Has reports whether nothing may be sent to the replicas of a zone.
func (z *Zones) Has(zone string) bool { return (*z.names.Load())[zone] }

// Known reports whether the orders were ever read.
func (z *Zones) Known() bool { return z.known.Load() }

// Names returns the evacuated zones in order.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(*z.names.Load())) }

// Replace takes over a list of all orders. A zone that is not in it was released, though nobody told so.
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
	z.take(batch.Entries)
	z.mu.Unlock()
	z.known.Store(true)
	z.opts.Changed()
}

// Change takes over orders that were given or taken back.
func (z *Zones) Change(batch feed.Batch[platform.Evacuation]) {
	z.mu.Lock()
	z.take(batch.Entries)
	z.mu.Unlock()
	z.opts.Changed()
}

// take takes over orders. One whose spec can't be read, or that is being deleted and still has finalizers, holds like
// any other: as long as the object exists its name says all, and a zone that is spared by mistake costs less than one
// that is used by mistake.
func (z *Zones) take(entries []feed.Entry[platform.Evacuation]) {
	for _, e := range entries {
		_, evacuated := z.since[e.Name]
		switch {
		case e.Name == "":
			// It names no zone.
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
