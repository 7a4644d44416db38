package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/relay"
)

// Guards against changes that a host misses when it fetches from a copy, whether it is a little or far behind. Objects
// are written and removed at random, and the copy is updated by changes and by full lists.
func TestFetchesBringTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := map[string]int64{}
		from, to := relay.NewCopy(relay.Options[int64]{}), map[string]int64{}
		revision, reached := int64(10), int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				revision++
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
				e := feed.Entry[int64]{Name: name, Revision: revision, Value: revision, Deleted: rapid.Bool().Draw(t, "deleted")}
				if e.Deleted {
					delete(truth, name)
				} else {
					truth[name] = revision
				}
				from.ApplyChanges(feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{e}}, time.Unix(revision, 0), false)
			case 2:
				all := feed.Batch[int64]{Revision: revision}
				for name, v := range truth {
					all.Entries = append(all.Entries, feed.Entry[int64]{Name: name, Revision: v, Value: v})
				}
				from.ApplyList(all, time.Unix(revision, 0), false)
			case 3:
				b, full, _ := from.Since(feed.Position{Revision: reached})
				if full {
					clear(to)
				}
				for _, e := range b.Entries {
					if e.Deleted {
						delete(to, e.Name)
					} else {
						to[e.Name] = e.Value
					}
				}
				reached = b.Revision
				if st, _ := from.State(); st.Revision > 0 && fmt.Sprint(to) != fmt.Sprint(truth) {
					t.Fatalf("the fetching host holds %v, the copy %v", to, truth)
				}
			}
		}
	})
}

// Guards against a copy that reverts to the older list of a host that was partitioned.
func TestOldListIsRefused(t *testing.T) {
	c := relay.NewCopy(relay.Options[int64]{})
	now := time.Unix(100, 0)
	qt.Assert(t, c.ApplyList(feed.Batch[int64]{Revision: 9}, now, false), qt.IsTrue)
	qt.Assert(t, c.ApplyList(feed.Batch[int64]{Revision: 8}, now, false), qt.IsFalse)
	_, ok := c.ApplyChanges(feed.Batch[int64]{Revision: 8}, now, false)
	qt.Assert(t, ok, qt.IsFalse)
	st, _ := c.State()
	qt.Assert(t, st.Revision, qt.Equals, int64(9))
}

// Guards against hosts that changes of the store don't reach, or reach in too many steps, and against hosts with too
// many children. Every host but the two that watch must have a parent of higher rank.
func TestParentsFormTree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 90, 5600} {
		hosts := make([]member.Host, n)
		for i := range hosts {
			hosts[i] = member.Host{ID: fmt.Sprintf("h%d", i), State: member.StateAlive}
		}
		order := member.Ranked(hosts, "watch")
		place := map[string]int{}
		for i, h := range order {
			place[h.ID] = i
		}
		watching, children := 0, map[string]int{}
		depth := make([]int, n)
		sample := 1 + n/200
		for i := 0; i < n; i += sample {
			parents, watches := relay.Parents(hosts, order[i].ID)
			if watches {
				watching++
				continue
			}
			qt.Assert(t, len(parents) >= 1, qt.IsTrue)
			for _, p := range parents {
				qt.Assert(t, place[p.ID] < i, qt.IsTrue)
			}
			children[parents[0].ID]++
			depth[i] = depth[place[parents[0].ID]] + 1
		}
		if sample == 1 {
			qt.Check(t, watching, qt.Equals, min(n, 2))
			for id, c := range children {
				qt.Check(t, c <= 8, qt.IsTrue, qt.Commentf("%s has %d children", id, c))
			}
			for i := range depth {
				qt.Check(t, depth[i] <= 3, qt.IsTrue)
			}
		}
	}
}

// Guards against a panic in a leaving host, which is not ranked any more. It must receive changes until it stops, also
// if only one other host is left.
func TestLeavingHostHasParents(t *testing.T) {
	for others := range 4 {
		hosts := []member.Host{{ID: "leaving", State: member.StateLeaving}}
		for i := range others {
			hosts = append(hosts, member.Host{ID: fmt.Sprintf("h%d", i), State: member.StateAlive})
		}
		parents, watches := relay.Parents(hosts, "leaving")
		qt.Check(t, len(parents), qt.Equals, min(others, 2), qt.Commentf("%d others", others))
		qt.Check(t, watches, qt.Equals, others < 2)
	}
}

// Guards against changes that cross a zone boundary more than once per zone, whichever hosts watch, as traffic between
// zones is slower and paid for. Also guards against cycles of parents.
func TestNewsCrossEachBorderOnce(t *testing.T) {
	for _, n := range []int{6, 84, 295} {
		zones := []string{"a", "b", "c", "d", "e"}
		hosts := make([]member.Host, n)
		byID := map[string]member.Host{}
		for i := range hosts {
			hosts[i] = member.Host{ID: fmt.Sprintf("h%d", i), State: member.StateAlive, Zone: zones[i%len(zones)], Region: "r"}
			byID[hosts[i].ID] = hosts[i]
		}
		crossing, children := 0, map[string]int{}
		for _, h := range hosts {
			parents, watches := relay.Parents(hosts, h.ID)
			if watches {
				continue
			}
			children[parents[0].ID]++
			if parents[0].Zone != h.Zone {
				crossing++
			}
			steps := 0
			for at := h; !watches; steps++ {
				parents, watches = relay.Parents(hosts, at.ID)
				if !watches {
					at = parents[0]
				}
				qt.Assert(t, steps < 8, qt.IsTrue, qt.Commentf("%s of %d hosts is its own ancestor", h.ID, n))
			}
			qt.Check(t, len(parents) > 0, qt.IsTrue)
		}
		qt.Check(t, crossing <= len(zones), qt.IsTrue, qt.Commentf("%d of %d hosts", crossing, n))
		for id, c := range children {
			qt.Check(t, c <= 8+len(zones), qt.IsTrue, qt.Commentf("%s in zone %s has %d children", id, byID[id].Zone, c))
		}
	}
}

// Guards against sending a full list to hosts that are up to date, when only a few of thousands of replicas have
// changed.
func TestListIsPassedOnAsChanges(t *testing.T) {
	now := time.Unix(100, 0)
	list := func(revision int64, values ...int64) feed.Batch[int64] {
		b := feed.Batch[int64]{Revision: revision}
		for i, v := range values {
			if v > 0 {
				b.Entries = append(b.Entries, feed.Entry[int64]{Name: fmt.Sprint(i), Revision: v, Value: v})
			}
		}
		return b
	}
	c := relay.NewCopy(relay.Options[int64]{})
	c.ApplyList(list(9, 1, 2, 3, 0), now, false)
	_, full, _ := c.Since(feed.Position{})
	qt.Assert(t, full, qt.IsTrue)
	// The second has changed, the third is gone, the fourth is new.
	c.ApplyList(list(15, 1, 12, 0, 14), now, false)
	news, full, _ := c.Since(feed.Position{Revision: 9})
	qt.Assert(t, full, qt.IsFalse)
	got := map[string]feed.Entry[int64]{}
	for _, e := range news.Entries {
		got[e.Name] = e
	}
	qt.Assert(t, len(got), qt.Equals, 3)
	qt.Check(t, got["1"].Value, qt.Equals, int64(12))
	qt.Check(t, got["2"].Deleted, qt.IsTrue)
	qt.Check(t, got["3"].Value, qt.Equals, int64(14))
	// A host that is behind the first list gets all objects.
	all, full, _ := c.Since(feed.Position{Revision: 5})
	qt.Assert(t, full, qt.IsTrue)
	qt.Assert(t, len(all.Entries), qt.Equals, 3)
}
