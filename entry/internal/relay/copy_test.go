package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
)

func oneEntry(revision int64, e feed.Entry[int64]) feed.Batch[int64] {
	return feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{e}}
}

// Guards against dropping the last readable configuration when an unreadable one is written. A host that starts then
// would get no configuration and refuse every request until the operator writes a valid one.
func TestLastGoodIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	broken := feed.Entry[int64]{Name: "main", Revision: 9, Unreadable: true}
	for _, list := range []bool{false, true} {
		c := relay.NewCopy(relay.Options[int64]{LastGood: true})
		c.ApplyList(oneEntry(5, feed.Entry[int64]{Name: "main", Revision: 5, Value: 7}), now, false)
		if list {
			c.ApplyList(oneEntry(9, broken), now, false)
		} else {
			news, ok := c.ApplyChanges(oneEntry(9, broken), now, false)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, news.Entries, qt.HasLen, 0)
		}
		held, full, _ := c.Since(feed.Position{})
		qt.Assert(t, full, qt.IsTrue)
		qt.Assert(t, held.Entries, qt.DeepEquals, []feed.Entry[int64]{{Name: "main", Revision: 5, Value: 7}})
		qt.Assert(t, held.Revision, qt.Equals, int64(9))
	}
}

// Guards against a replica that reverts to its old process. A list is read in pages while the replica restarts: a page
// contains the new process, and the changes since the first page still contain the old one.
func TestOlderChangeAfterANewerPage(t *testing.T) {
	now := time.Unix(100, 0)
	c := relay.NewCopy(relay.Options[int64]{})
	c.ApplyList(oneEntry(5, feed.Entry[int64]{Name: "i-1", Revision: 8, Value: 2}), now, false)
	news, ok := c.ApplyChanges(oneEntry(7, feed.Entry[int64]{Name: "i-1", Revision: 7, Value: 1}), now, false)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, news.Entries, qt.HasLen, 0)
	heard, _, _ := c.Since(feed.Position{Revision: 5})
	qt.Assert(t, heard.Entries, qt.HasLen, 0)
	news, _ = c.ApplyChanges(oneEntry(9, feed.Entry[int64]{Name: "i-1", Revision: 9, Deleted: true}), now, false)
	qt.Assert(t, news.Entries, qt.HasLen, 1)
}
