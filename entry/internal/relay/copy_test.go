package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
)

func one(revision int64, e feed.Entry[int64]) feed.Batch[int64] {
	return feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{e}}
}

// The configuration is overwritten with nonsense, and a host starts. It hears the last good one from its neighbours;
// where their copies had dropped it, it would refuse every request until the operator writes again.
func TestLastGoodIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	broken := feed.Entry[int64]{Name: "main", Revision: 9, Unreadable: true}
	for _, list := range []bool{false, true} {
		c := relay.NewCopy(relay.Options[int64]{LastGood: true})
		c.Replace(one(5, feed.Entry[int64]{Name: "main", Revision: 5, Value: 7}), now, false)
		if list {
			c.Replace(one(9, broken), now, false)
		} else {
			news, ok := c.Change(one(9, broken), now, false)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, news.Entries, qt.HasLen, 0)
		}
		held, full, _ := c.Since(feed.Position{})
		qt.Assert(t, full, qt.IsTrue)
		qt.Assert(t, held.Entries, qt.DeepEquals, []feed.Entry[int64]{{Name: "main", Revision: 5, Value: 7}})
		qt.Assert(t, held.Revision, qt.Equals, int64(9))
	}
}

// A list is read page by page while a replica starts again: the page shows the new process, and the changes since the
// first page still tell of the old one. That must not come back on this host, nor on those that hear from it.
func TestOlderChangeAfterANewerPage(t *testing.T) {
	now := time.Unix(100, 0)
	c := relay.NewCopy(relay.Options[int64]{})
	c.Replace(one(5, feed.Entry[int64]{Name: "i-1", Revision: 8, Value: 2}), now, false)
	news, ok := c.Change(one(7, feed.Entry[int64]{Name: "i-1", Revision: 7, Value: 1}), now, false)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, news.Entries, qt.HasLen, 0)
	heard, _, _ := c.Since(feed.Position{Revision: 5})
	qt.Assert(t, heard.Entries, qt.HasLen, 0)
	news, _ = c.Change(one(9, feed.Entry[int64]{Name: "i-1", Revision: 9, Deleted: true}), now, false)
	qt.Assert(t, news.Entries, qt.HasLen, 1)
}
