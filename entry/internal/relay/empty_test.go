package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/relay"
)

// Guards against hosts that don't accept an empty list from another host, as is usual for evacuations. Each of them
// would read the store itself when a fleet starts.
func TestNothingIsHeardToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := relay.NewCopy(relay.Options[platform.Evacuation]{})
		m := &relay.Methods{Clock: clock.System{}, EvacuationCopy: c}
		c.ApplyList(feed.Batch[platform.Evacuation]{Revision: 7}, time.Now(), false)
		var rep relay.Reply[platform.Evacuation]
		qt.Assert(t, m.Evacuations(&relay.Args{Wait: time.Second}, &rep), qt.IsNil)
		qt.Assert(t, rep.Full, qt.IsTrue)
		qt.Assert(t, rep.Revision, qt.Equals, int64(7))
		qt.Assert(t, rep.Unpack(), qt.IsNil)
		qt.Assert(t, rep.Entries, qt.HasLen, 0)
	})
}
