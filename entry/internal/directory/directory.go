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
	// listed is the most hosts in one zone's object: enough that one of them still runs after an hour without updates.
	listed = 8
	// writeEvery is the least time between two writes of one zone's object; with 24 zones that is under one write a
	// second.
	writeEvery = 30 * time.Second
	readEvery  = 30 * time.Second
	tickEvery  = 2 * time.Second
	// meetFor is how long a host that is alone looks for those listed before it writes over them.
	meetFor     = 5 * time.Second
	callTimeout = 2 * time.Second
)

// Options configures a Directory.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// List, Get and Put are the platform's calls.
	List func(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error)
	Get  func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put  func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	// Era returns the era of the platform's objects, which rises when the platform comes back from an older copy of them;
	// nil means that it never does.
	Era func() int64
	// Seeded is how long a host waits for the hosts that its settings name before it reads; one that joined by then
	// doesn't read, since in a fleet that starts at once each read is a call to the platform.
	Seeded time.Duration
	// Self and Hosts return this host's row and every host that is not dead.
	Self  func() member.Host
	Hosts func() []member.Host
}

// Directory reads the objects of all zones, and writes the one of this host's zone when it is its turn.
//
// One host of each zone writes, by rendezvous hash: 5,600 hosts that each kept an entry alive would need 560 writes a
// second, more than the platform takes. It is a hint only: a host that was told a wrong address finds nobody there and
// takes the next, so that an outage of an hour costs nothing but fewer good hints.
type Directory struct {
	opts Options

	mu       sync.Mutex
	contacts []netip.AddrPort
	started  time.Time
	read     time.Time
	wrote    time.Time
	// era is the one that was known last, and lost says that what was read and written may be lost since.
	era  int64
	lost bool
	// last is what the zone's object holds, as read or written last.
	last []netip.AddrPort
}

// New returns a directory that does nothing until Run.
func New(opts Options) *Directory {
	if opts.Era == nil {
		opts.Era = func() int64 { return 0 }
	}
	return &Directory{opts: opts}
}

// Contacts returns the addresses that were listed when the objects were read last.
func (d *Directory) Contacts() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.contacts)
}

// Run keeps the directory until ctx ends. Every host reads once; later only a host that is alone, and the writers, who
// find in it hosts that joined by other seeds and bring the two fleets together.
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
	// A host that starts must not write over a fleet that it hasn't met yet. Where it waits for the hosts that its
	// settings name, the others have the time to meet; in a large fleet that starts at once every third would take
	// itself for the first of its zone, and write.
	met := now.Sub(d.started) >= meetFor || !alone && d.opts.Seeded == 0
	if d.read.IsZero() && d.opts.Seeded == 0 || alone || writer && met && (d.lost || now.Sub(d.read) >= readEvery) {
		d.readAll(ctx, now)
	}
	if writer && !d.read.IsZero() && met {
		d.write(ctx, hosts, now)
	}
}

// writes reports whether this host is the first of its zone.
func (d *Directory) writes(hosts []member.Host) bool {
	self := d.opts.Self()
	zone := d.inZone(hosts)
	return len(zone) > 0 && zone[0].ID == self.ID
}

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
	// What another host wrote, which may have been cut off and alone, is compared with what should be there.
	d.contacts, d.read, d.last = contacts, now, own
	if d.lost {
		// The zone's object may have to be written again.
		d.wrote, d.lost = time.Time{}, false
	}
}

// write stores the zone's first hosts if they changed.
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

// added returns what is listed with this host besides: one that is alone must be found by the next, but it may be alone
// only because it is cut off, and then those listed are still there for all the others.
func (d *Directory) added() []netip.AddrPort {
	self := d.opts.Self().Peer
	if slices.Contains(d.last, self) {
		return d.last
	}
	list := append([]netip.AddrPort{self}, d.last[:min(listed-1, len(d.last))]...)
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (d *Directory) store(ctx context.Context, want []netip.AddrPort) error {
	self := d.opts.Self()
	old, err := d.opts.Get(ctx, platform.KindHosts, d.name())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	b, err := json.Marshal(body{Region: self.Region, Zone: self.Zone, Hosts: want})
	if err != nil {
		return fmt.Errorf("encode directory of %s: %w", d.name(), err)
	}
	put, err := d.opts.Put(ctx, platform.KindHosts, d.name(), old.Version, b)
	if err == nil && put.Era != old.Era {
		d.lost = true
		return fmt.Errorf("%w: directory of %s: version %d was read in era %d and written in era %d", platform.ErrConflict, d.name(), old.Version, old.Era, put.Era)
	}
	return err
}

func (d *Directory) name() string {
	self := d.opts.Self()
	return self.Region + "." + self.Zone
}

// addresses returns the first hosts' addresses, in an order that doesn't depend on who writes.
func addresses(hosts []member.Host) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range hosts[:min(listed, len(hosts))] {
		list = append(list, h.Peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}
