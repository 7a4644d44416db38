package directory

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// maxServing is the maximum number of serving hosts in the object of one zone.
	maxServing = 32
	// maxParts is the maximum number of parts that is read.
	maxParts = 1 << 16
	// stableFor is the time for which the shares must stay the same before the ones in the store are replaced. A host that
	// restarts is back before that.
	stableFor = 10 * time.Second
)

// Shares are the shares that customers' limits are divided into, for hosts that start.
type Shares struct {
	// Parts is the number of shares over all zones, zero if it is unknown.
	Parts int `json:"parts,omitempty"`
	// Serving holds the addresses of the hosts that have a share, in an object those of its zone.
	Serving []netip.AddrPort `json:"serving,omitempty"`
}

func (s Shares) equal(other Shares) bool {
	return s.Parts == other.Parts && slices.Equal(s.Serving, other.Serving)
}

// add adds the shares in the object of a zone. The largest number of parts counts: one that is too small would make the
// shares too large.
func (s *Shares) add(zone Shares) {
	s.Parts = max(s.Parts, min(zone.Parts, maxParts))
	for _, addr := range zone.Serving[:min(maxServing, len(zone.Serving))] {
		if addr.IsValid() && addr.Port() != 0 && !slices.Contains(s.Serving, addr) {
			s.Serving = append(s.Serving, addr)
		}
	}
}

// ReadShares reads the shares of all zones from the platform.
func (d *Directory) ReadShares(ctx context.Context) (Shares, error) {
	d.calls.Lock()
	defer d.calls.Unlock()
	if err := d.readAll(ctx, d.opts.Clock.Now()); err != nil {
		return Shares{}, err
	}
	d.era = d.opts.Era()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allShares, nil
}

// SkipRead records that another host has just read the objects, so that this one doesn't read them again when it
// becomes the writer of its zone. With none, they hold no shares, which this host may write without a read.
func (d *Directory) SkipRead(none bool) {
	d.calls.Lock()
	defer d.calls.Unlock()
	d.readElsewhere, d.era = d.opts.Clock.Now(), d.opts.Era()
	if none {
		d.lastRead = d.readElsewhere
	}
}

// sharesToWrite returns the shares for the zone's object: those that it holds, or the present ones if they have been the
// same for stableFor or the object holds none.
func (d *Directory) sharesToWrite(hosts []member.Host, now time.Time) Shares {
	parts, serving := d.opts.Shares()
	if parts == 0 || len(hosts) == 1 {
		return d.shares
	}
	want := Shares{Parts: parts}
	for _, h := range d.zoneHosts(serving) {
		if len(want.Serving) < maxServing {
			want.Serving = append(want.Serving, h.Peer)
		}
	}
	slices.SortFunc(want.Serving, netip.AddrPort.Compare)
	if !want.equal(d.wanted) {
		d.wanted, d.wantedSince = want, now
	}
	if d.shares.Parts > 0 && now.Sub(d.wantedSince) < stableFor {
		return d.shares
	}
	return want
}
