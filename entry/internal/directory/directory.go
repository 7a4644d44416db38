package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
)

const (
	// listed is the maximum number of hosts in the object of one zone: enough that one of them still runs after an hour
	// without updates.
	listed = 8
	// writeEvery is the minimum interval between two writes of one zone's object. With 24 zones that is less than one
	// write per second.
	writeEvery = 30 * time.Second
	// readEvery is the interval at which the writer of a zone reads all objects.
	readEvery = 30 * time.Second
	tickEvery = 2 * time.Second
	// meetFor is the time after the start during which a host with no other host in its member list tries to reach the
	// listed ones before it writes the object.
	meetFor = 5 * time.Second
	// callTimeout limits one read of all objects, and one write.
	callTimeout = 2 * time.Second
)

// Options configures a Directory.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// List, Get and Put call the platform.
	List func(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error)
	Get  func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put  func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	// Era returns the restart era of the platform, which rises when its objects are restored from a backup; nil means
	// that the era never changes.
	Era func() int64
	// Seeded is the time for which a host tries to join through the seeds in its settings before it reads. A host that
	// has joined by then doesn't read: when a whole fleet starts at once, each read is a call to the platform. With
	// zero, every host reads at once.
	Seeded time.Duration
	// Self returns this host's entry in the member list, Hosts all entries that are not dead.
	Self  func() member.Host
	Hosts func() []member.Host
}

// Directory reads the objects of all zones and writes that of this host's zone if this host is the writer.
//
// Rendezvous hashing selects one writer in each zone: if each of 5,600 hosts refreshed an entry of its own, the
// platform would get 560 writes per second, more than it accepts. The addresses are hints. A host that finds no host at
// one of them tries the next, so an outage of the platform for an hour only makes more of them outdated.
type Directory struct {
	opts Options

	mu       sync.Mutex
	contacts []netip.AddrPort
	started  time.Time
	read     time.Time
	wrote    time.Time
	// era is the last known restart era. lost reports that the objects may have been lost since the last read.
	era  int64
	lost bool
	// last is the content of the zone's object as of the last read or write.
	last []netip.AddrPort
}

// New returns a directory that does nothing until Run.
func New(opts Options) *Directory {
	if opts.Era == nil {
		opts.Era = func() int64 { return 0 }
	}
	return &Directory{opts: opts}
}

// Contacts returns the addresses of the last read.
func (d *Directory) Contacts() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.contacts)
}

// Run reads and writes the objects until ctx ends. Every host reads once, unless it joins through its seeds. After
// that, only writers and hosts without others in their member list read. Writers find hosts there that joined through
// other seeds, so that split fleets merge.
func (d *Directory) Run(ctx context.Context) {
	if d.opts.Seeded > 0 {
		clock.Sleep(ctx, d.opts.Clock, d.opts.Seeded)
	}
	for ctx.Err() == nil {
		d.tick(ctx)
		clock.Sleep(ctx, d.opts.Clock, tickEvery)
	}
}

func (d *Directory) tick(ctx context.Context) {
	hosts, now := d.opts.Hosts(), d.opts.Clock.Now()
	writer := d.writes(hosts)
	alone := len(hosts) == 1
	if d.started.IsZero() {
		d.started = now
	}
	if era := d.opts.Era(); era != d.era {
		d.era, d.lost = era, true
	}
	// A starting host must not overwrite the addresses of a fleet that it hasn't joined yet. With Seeded set, a host
	// that knows some others waits too: in a large fleet that starts at once, one host in three would otherwise see
	// itself as the writer of its zone, and write.
	met := now.Sub(d.started) >= meetFor || !alone && d.opts.Seeded == 0
	if d.read.IsZero() && d.opts.Seeded == 0 || alone || writer && met && (d.lost || now.Sub(d.read) >= readEvery) {
		d.readAll(ctx, now)
	}
	if writer && !d.read.IsZero() && met {
		d.write(ctx, hosts, now)
	}
}

// writes reports whether this host is the writer of its zone.
func (d *Directory) writes(hosts []member.Host) bool {
	self := d.opts.Self()
	zone := d.inZone(hosts)
	return len(zone) > 0 && zone[0].ID == self.ID
}

// inZone returns the hosts of this host's zone and region, the writer first.
func (d *Directory) inZone(hosts []member.Host) []member.Host {
	self := d.opts.Self()
	var zone []member.Host
	for _, h := range hosts {
		if h.Zone == self.Zone && h.Region == self.Region {
			zone = append(zone, h)
		}
	}
	return member.Ranked(zone, "directory")
}

// body is the object of one zone.
type body struct {
	Region string           `json:"region"`
	Zone   string           `json:"zone"`
	Hosts  []netip.AddrPort `json:"hosts"`
}

// readAll reads the objects of all zones.
func (d *Directory) readAll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objs, _, err := d.opts.List(ctx, platform.KindHosts)
	if err != nil {
		events.DirectoryFailed.Log(d.opts.Log, "call", "list", "reason", err.Error())
		return
	}
	var contacts, own []netip.AddrPort
	for _, obj := range objs {
		var b body
		if err := json.Unmarshal(obj.Body, &b); err != nil {
			events.DirectoryUnreadable.Log(d.opts.Log, "object", obj.Name, "reason", err.Error())
			continue
		}
		b.Hosts = slices.DeleteFunc(b.Hosts, func(a netip.AddrPort) bool { return !a.IsValid() || a.Port() == 0 })
		contacts = append(contacts, b.Hosts[:min(listed, len(b.Hosts))]...)
		if obj.Name == d.name() {
			own = b.Hosts
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// Another host may have written the zone's object while it was cut off. write compares it with the wanted content.
	d.contacts, d.read, d.last = contacts, now, own
	if d.lost {
		// The zone's object may be lost and has to be written without waiting for the interval.
		d.wrote, d.lost = time.Time{}, false
	}
}

// write writes the zone's object if its addresses have changed.
func (d *Directory) write(ctx context.Context, hosts []member.Host, now time.Time) {
	want := addresses(d.inZone(hosts))
	if len(hosts) == 1 {
		want = d.added()
	}
	if slices.Equal(want, d.last) || !d.wrote.IsZero() && now.Sub(d.wrote) < writeEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.store(ctx, want); err != nil {
		events.DirectoryFailed.Log(d.opts.Log, "call", "put", "reason", err.Error())
		return
	}
	d.last, d.wrote = want, now
	events.DirectoryWritten.Log(d.opts.Log, "object", d.name(), "hosts", len(want))
}

// added returns the listed addresses with that of this host added. A host without others must be listed so that the
// next one finds it. But it may only be cut off from the others, so the listed addresses have to stay.
func (d *Directory) added() []netip.AddrPort {
	self := d.opts.Self().Peer
	if slices.Contains(d.last, self) {
		return d.last
	}
	list := append([]netip.AddrPort{self}, d.last[:min(listed-1, len(d.last))]...)
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// store writes the zone's object, on condition that its version is still the one read.
func (d *Directory) store(ctx context.Context, want []netip.AddrPort) error {
	self := d.opts.Self()
	old, err := d.opts.Get(ctx, platform.KindHosts, d.name())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	b, err := json.Marshal(body{Region: self.Region, Zone: self.Zone, Hosts: want})
	if err != nil {
		return fmt.Errorf("encode directory object %s: %w", d.name(), err)
	}
	put, err := d.opts.Put(ctx, platform.KindHosts, d.name(), old.Version, b)
	if err == nil && put.Era != old.Era {
		d.lost = true
		return fmt.Errorf("%w: directory object %s: version %d was read in era %d but written in era %d", platform.ErrConflict, d.name(), old.Version, old.Era, put.Era)
	}
	return err
}

// name returns the name of the zone's object.
func (d *Directory) name() string {
	self := d.opts.Self()
	return self.Region + "." + self.Zone
}

// addresses returns the sorted addresses of the first hosts, the same for every writer.
func addresses(hosts []member.Host) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range hosts[:min(listed, len(hosts))] {
		list = append(list, h.Peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}
