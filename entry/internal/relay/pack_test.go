package relay_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/relay"
)

// replicaList returns n replicas with IDs, names and addresses like those of a large deployment.
func replicaList(n int) feed.Batch[platform.Replica] {
	b := feed.Batch[platform.Replica]{Revision: int64(n)}
	for i := range n {
		id := fmt.Sprintf("i-%08x", i*2654435761%(1<<32))
		b.Entries = append(b.Entries, feed.Entry[platform.Replica]{Name: id, Revision: int64(i + 1), Value: platform.Replica{
			ID: id, Service: fmt.Sprintf("finder-%d", i/3), Zone: []string{"osborne-hall", "picton-shed", "webberton-room"}[i%3], Slots: 7, Sequence: int64(i % 4),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 8000), State: platform.StateLive, Started: time.UnixMilli(1773142868000 + int64(i)).UTC(),
		}})
	}
	return b
}

// Guards against full lists that saturate the links of small machines when hundreds of hosts start at once and fetch
// from the same few. Each must get the complete list in a third of its unpacked size.
func TestAllObjectsTravelPacked(t *testing.T) {
	c := relay.NewCopy(relay.Options[platform.Replica]{})
	all := replicaList(282)
	c.ApplyList(all, time.Now(), false)
	m := &relay.Methods{Clock: clock.System{}, ConfigCopy: nil, ReplicaCopy: c}
	for range 2 {
		var rep relay.Reply[platform.Replica]
		qt.Assert(t, m.Replicas(&relay.Args{}, &rep), qt.IsNil)
		qt.Assert(t, rep.Full, qt.IsTrue)
		qt.Assert(t, rep.Entries, qt.HasLen, 0)
		qt.Check(t, len(rep.Packed) < 282*150/3, qt.IsTrue, qt.Commentf("%d bytes", len(rep.Packed)))
		qt.Assert(t, rep.Unpack(), qt.IsNil)
		got := map[string]feed.Entry[platform.Replica]{}
		for _, e := range rep.Entries {
			got[e.Name] = e
		}
		for _, e := range all.Entries {
			qt.Assert(t, got[e.Name], qt.Equals, e)
		}
		qt.Assert(t, got, qt.HasLen, len(all.Entries))
	}
	// Later changes must be in the next list.
	gone := feed.Batch[platform.Replica]{Revision: 283, Entries: []feed.Entry[platform.Replica]{{Name: all.Entries[0].Name, Revision: 283, Deleted: true}}}
	c.ApplyChanges(gone, time.Now(), false)
	var rep relay.Reply[platform.Replica]
	qt.Assert(t, m.Replicas(&relay.Args{}, &rep), qt.IsNil)
	qt.Assert(t, rep.Unpack(), qt.IsNil)
	qt.Assert(t, rep.Entries, qt.HasLen, 281)
}

// Guards against invalid bytes of a faulty host that are taken for an empty list, which would remove all replicas.
func TestUnreadablePackIsAnError(t *testing.T) {
	rep := relay.Reply[platform.Replica]{Full: true, Revision: 9, Packed: []byte("no list")}
	qt.Assert(t, rep.Unpack(), qt.ErrorMatches, "relay: unpack 7 bytes: .*")
}

// Guards against a message from another host that is small when it arrives and takes the host over its memory unpacked.
func TestLargeUnpackedReplyIsRefused(t *testing.T) {
	c := relay.NewCopy(relay.Options[platform.Replica]{})
	c.ApplyList(feed.Batch[platform.Replica]{Revision: 1, Entries: []feed.Entry[platform.Replica]{{Name: strings.Repeat("x", 17<<20), Revision: 1}}}, time.Now(), false)
	m := &relay.Methods{Clock: clock.System{}, ReplicaCopy: c}
	var rep relay.Reply[platform.Replica]
	qt.Assert(t, m.Replicas(&relay.Args{}, &rep), qt.IsNil)
	qt.Assert(t, len(rep.Packed) < 1<<20, qt.IsTrue)
	qt.Assert(t, rep.Unpack(), qt.ErrorMatches, "relay: unpack [0-9]+ bytes: .*")
}
