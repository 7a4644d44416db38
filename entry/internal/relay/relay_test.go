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

// Objects are written and removed at random; a copy follows in batches, is now and then replaced whole, and another
// host fetches from it at random moments, sometimes long behind. Whatever it missed, it must hold what the copy holds.
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
				from.Change(feed.Batch[int64]{Revision: revision, Entries: []feed.Entry[int64]{e}}, time.Unix(revision, 0), false)
			case 2:
				all := feed.Batch[int64]{Revision: revision}
				for name, v := range truth {
					all.Entries = append(all.Entries, feed.Entry[int64]{Name: name, Revision: v, Value: v})
				}
				from.Replace(all, time.Unix(revision, 0), false)
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
					t.Fatalf("the other host holds %v, the copy %v", to, truth)
				}
			}
		}
	})
}

// A host that was cut off brings an old list. What is known already must not go back.
func TestOldListIsRefused(t *testing.T) {
	c := relay.NewCopy(relay.Options[int64]{})
	now := time.Unix(100, 0)
	qt.Assert(t, c.Replace(feed.Batch[int64]{Revision: 9}, now, false), qt.IsTrue)
	qt.Assert(t, c.Replace(feed.Batch[int64]{Revision: 8}, now, false), qt.IsFalse)
	_, ok := c.Change(feed.Batch[int64]{Revision: 8}, now, false)
	qt.Assert(t, ok, qt.IsFalse)
	st, _ := c.State()
	qt.Assert(t, st.Revision, qt.Equals, int64(9))
}

// Every host but the two that watch has a parent ahead of it, so that news from the store reach all, in few steps, and
// no host passes on to more than its share.
func TestTree(t *testing.T) {
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
				qt.Check(t, c <= 8, qt.IsTrue, qt.Commentf("%s has %d", id, c))
			}
			for i := range depth {
				qt.Check(t, depth[i] <= 3, qt.IsTrue)
			}
		}
	}
}

// A host is told to stop while one other is left. It is no longer ranked, and must go on hearing of changes while it
// finishes its work; the process once ended here with a panic in the middle of its grace.
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

// A fleet of five zones hears of a new replica. What crosses a zone's border is paid for and has a longer way, so that
// it must cross once for each zone, whoever watches; no host may hear from one that hears from itself.
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
				qt.Assert(t, steps < 8, qt.IsTrue, qt.Commentf("%s of %d hosts hears from itself", h.ID, n))
			}
			qt.Check(t, len(parents) > 0, qt.IsTrue)
		}
		qt.Check(t, crossing <= len(zones), qt.IsTrue, qt.Commentf("%d of %d hosts", crossing, n))
		for id, c := range children {
			qt.Check(t, c <= 8+len(zones), qt.IsTrue, qt.Commentf("%s of %s passes on to %d", id, byID[id].Zone, c))
		}
	}
}

// Guards against a list that is passed on whole to hosts that are in step: of thousands of replicas a few have changed.
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
	c.Replace(list(9, 1, 2, 3, 0), now, false)
	_, full, _ := c.Since(feed.Position{})
	qt.Assert(t, full, qt.IsTrue)
	// The second has changed, the third is gone, the fourth is new.
	c.Replace(list(15, 1, 12, 0, 14), now, false)
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
	// One that heard nothing before the first list gets all.
	all, full, _ := c.Since(feed.Position{Revision: 5})
	qt.Assert(t, full, qt.IsTrue)
	qt.Assert(t, len(all.Entries), qt.Equals, 3)
}
