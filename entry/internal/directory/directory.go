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
	// maxListedHosts is the maximum number of hosts in the object of one zone: enough that one of them still runs after
	// an hour without updates.
	maxListedHosts = 8
	// minWriteInterval is the minimum interval between two writes of one zone's object. With 24 zones that is less than
	// one write per second.
	minWriteInterval = 30 * time.Second
	// readInterval is the interval at which the writer of a zone reads all objects.
	readInterval = 30 * time.Second
	tickInterval = 2 * time.Second
	// joinTimeout is the time after the start during which a host with no other host in its member list tries to reach the
	// listed ones before it writes the object.
	joinTimeout = 5 * time.Second
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
	// Shares returns the number of shares that customers' limits are divided into and the hosts that have them, or zero if
	// there is no number to publish. It may be nil.
	Shares func() (parts int, serving []member.Host)
}

// Directory reads the objects of all zones and writes that of this host's zone if this host is the writer.
//
// Rendezvous hashing selects one writer in each zone: if each of 5,600 hosts refreshed an entry of its own, the
// platform would get 560 writes per second, more than it accepts. The addresses are hints. A host that finds no host at
// one of them tries the next, so an outage of the platform for an hour only makes more of them outdated.
type Directory struct {
	opts Options

	// calls is held during calls to the platform.
	calls sync.Mutex

	mu        sync.Mutex
	contacts  []netip.AddrPort
	started   time.Time
	lastRead  time.Time
	lastWrite time.Time
	// era is the last known restart era. maybeLost reports that the objects may have been lost since the last read.
	era       int64
	maybeLost bool
	// published is the content of the zone's object as of the last read or write.
	published []netip.AddrPort
	// shares are the shares in the zone's object as of the last read or write, allShares those of all zones, and wanted
	// those that this host would write, unchanged since wantedSince.
	shares, allShares, wanted Shares
	wantedSince               time.Time
	// readElsewhere is when another host passed on what it had read.
	readElsewhere time.Time
}

// New returns a directory that does nothing until Run.
func New(opts Options) *Directory {
	if opts.Shares == nil {
		opts.Shares = func() (int, []member.Host) { return 0, nil }
	}
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
		clock.Sleep(ctx, d.opts.Clock, tickInterval)
	}
}

func (d *Directory) tick(ctx context.Context) {
	d.calls.Lock()
	defer d.calls.Unlock()
	hosts, now := d.opts.Hosts(), d.opts.Clock.Now()
	writer := d.isWriter(hosts)
	alone := len(hosts) == 1
	if d.started.IsZero() {
		d.started = now
	}
	if era := d.opts.Era(); era != d.era {
		d.era, d.maybeLost = era, true
	}
	// A starting host must not overwrite the addresses of a fleet that it hasn't joined yet. With Seeded set, a host
	// with some others in its member list waits too: in a large fleet that starts at once, one host in three would
	// otherwise see itself as the writer of its zone, and write.
	mayWrite := now.Sub(d.started) >= joinTimeout || !alone && d.opts.Seeded == 0
	if d.lastRead.IsZero() && d.opts.Seeded == 0 || alone || writer && mayWrite && (d.maybeLost || d.readDue(now)) {
		// The next tick tries again.
		_ = d.readAll(ctx, now)
	}
	if writer && !d.lastRead.IsZero() && mayWrite {
		d.writeIfChanged(ctx, hosts, now)
	}
}

// readDue reports whether the last read is too long ago.
func (d *Directory) readDue(now time.Time) bool {
	return now.Sub(d.lastRead) >= readInterval && now.Sub(d.readElsewhere) >= readInterval
}

// isWriter reports whether this host is the writer of its zone.
func (d *Directory) isWriter(hosts []member.Host) bool {
	self := d.opts.Self()
	zone := d.zoneHosts(hosts)
	return len(zone) > 0 && zone[0].ID == self.ID
}

// zoneHosts returns the hosts of this host's zone and region, the writer first.
func (d *Directory) zoneHosts(hosts []member.Host) []member.Host {
	self := d.opts.Self()
	var zone []member.Host
	for _, h := range hosts {
		if h.Zone == self.Zone && h.Region == self.Region {
			zone = append(zone, h)
		}
	}
	return member.Ranked(zone, "directory")
}

// zoneObject is the object of one zone.
type zoneObject struct {
	Region string           `json:"region"`
	Zone   string           `json:"zone"`
	Hosts  []netip.AddrPort `json:"hosts"`
	// Shares is empty in the objects of hosts that know no customers with limits.
	Shares
}

// readAll reads the objects of all zones.
func (d *Directory) readAll(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objs, _, err := d.opts.List(ctx, platform.KindHosts)
	if err != nil {
		events.DirectoryFailed.Log(d.opts.Log, "call", "list", "reason", err.Error())
		return err
	}
	var contacts, own []netip.AddrPort
	var shares, all Shares
	for _, obj := range objs {
		var b zoneObject
		if err := obj.Decode(&b); err != nil {
			events.DirectoryUnreadable.Log(d.opts.Log, "object", obj.Name, "reason", err.Error())
			continue
		}
		b.Hosts = slices.DeleteFunc(b.Hosts, func(a netip.AddrPort) bool { return !a.IsValid() || a.Port() == 0 })
		contacts = append(contacts, b.Hosts[:min(maxListedHosts, len(b.Hosts))]...)
		if obj.Name == d.objectName() {
			own, shares = b.Hosts, b.Shares
		}
		all.add(b.Shares)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// Another host may have written the zone's object while it was cut off. writeIfChanged compares it with the wanted
	// content.
	d.contacts, d.lastRead, d.published, d.shares, d.allShares = contacts, now, own, shares, all
	if d.maybeLost {
		// The zone's object may be lost and has to be written without waiting for the interval.
		d.lastWrite, d.maybeLost = time.Time{}, false
	}
	return nil
}

// writeIfChanged writes the zone's object if its addresses or shares have changed.
func (d *Directory) writeIfChanged(ctx context.Context, hosts []member.Host, now time.Time) {
	want := peerAddresses(d.zoneHosts(hosts))
	if len(hosts) == 1 {
		want = d.withSelf()
	}
	shares := d.sharesToWrite(hosts, now)
	if slices.Equal(want, d.published) && shares.equal(d.shares) || !d.lastWrite.IsZero() && now.Sub(d.lastWrite) < minWriteInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.putObject(ctx, want, shares); err != nil {
		events.DirectoryFailed.Log(d.opts.Log, "call", "put", "reason", err.Error())
		return
	}
	if !shares.equal(d.shares) {
		events.StartPartsWritten.Log(d.opts.Log, "object", d.objectName(), "parts", shares.Parts, "serving", len(shares.Serving))
	}
	d.published, d.shares, d.lastWrite = want, shares, now
	events.DirectoryWritten.Log(d.opts.Log, "object", d.objectName(), "hosts", len(want))
}

// withSelf returns the listed addresses with that of this host added. A host without others must be listed so that the
// next one finds it. But it may only be cut off from the others, so the listed addresses have to stay.
func (d *Directory) withSelf() []netip.AddrPort {
	self := d.opts.Self().Peer
	if slices.Contains(d.published, self) {
		return d.published
	}
	list := append([]netip.AddrPort{self}, d.published[:min(maxListedHosts-1, len(d.published))]...)
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// putObject writes the zone's object, on condition that its version is still the one read.
func (d *Directory) putObject(ctx context.Context, want []netip.AddrPort, shares Shares) error {
	self := d.opts.Self()
	old, err := d.opts.Get(ctx, platform.KindHosts, d.objectName())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	b, err := json.Marshal(zoneObject{Region: self.Region, Zone: self.Zone, Hosts: want, Shares: shares})
	if err != nil {
		return fmt.Errorf("encode directory object %s: %w", d.objectName(), err)
	}
	put, err := d.opts.Put(ctx, platform.KindHosts, d.objectName(), old.Version, b)
	if err == nil && put.Era != old.Era {
		d.maybeLost = true
		return fmt.Errorf("%w: directory object %s: version %d was read in era %d but written in era %d", platform.ErrConflict, d.objectName(), old.Version, old.Era, put.Era)
	}
	return err
}

// objectName returns the name of the zone's object.
func (d *Directory) objectName() string {
	self := d.opts.Self()
	return self.Region + "." + self.Zone
}

// peerAddresses returns the sorted addresses of the first hosts, the same for every writer.
func peerAddresses(hosts []member.Host) []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range hosts[:min(maxListedHosts, len(hosts))] {
		list = append(list, h.Peer)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}
