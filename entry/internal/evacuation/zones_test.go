package evacuation_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/evacuation"
)

func evacuated(zone string) feed.Entry[platform.Evacuation] {
	return feed.Entry[platform.Evacuation]{Name: zone, Value: platform.Evacuation{Zone: zone}}
}

func released(zone string) feed.Entry[platform.Evacuation] {
	return feed.Entry[platform.Evacuation]{Name: zone, Deleted: true}
}

func unreadable(zone string) feed.Entry[platform.Evacuation] {
	return feed.Entry[platform.Evacuation]{Name: zone, Unreadable: true}
}

// step is one update that a host receives: a full list of evacuations, or the changed ones.
type step struct {
	list    bool
	entries []feed.Entry[platform.Evacuation]
}

func list(entries ...feed.Entry[platform.Evacuation]) step { return step{true, entries} }

func change(entries ...feed.Entry[platform.Evacuation]) step { return step{false, entries} }

// Guards against requests to an evacuated zone, and against a zone that stays unused after its release, while hosts get
// evacuations by lists and changes and miss some of these. A zone must be avoided from the first update that names it,
// and used again from the update that releases it or from a list that doesn't contain it.
func TestZonesFollowUpdates(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"none", []step{list()}, nil},
		{"listed at the start", []step{list(evacuated("a"))}, []string{"a"}},
		{"evacuated later", []step{list(), change(evacuated("a"))}, []string{"a"}},
		{"two zones at once", []step{list(), change(evacuated("a"), evacuated("b"))}, []string{"a", "b"}},
		{"one after the other", []step{list(evacuated("a")), change(released("a"), evacuated("b"))}, []string{"b"}},
		{"released", []step{list(evacuated("a")), change(released("a"))}, nil},
		{"the release was missed", []step{list(evacuated("a"), evacuated("b")), list(evacuated("b"))}, []string{"b"}},
		{"evacuated again", []step{list(evacuated("a")), change(released("a")), change(evacuated("a"))}, []string{"a"}},
		{"written twice", []step{list(evacuated("a")), change(evacuated("a"))}, []string{"a"}},
		{"one of two released", []step{list(evacuated("a"), evacuated("b")), change(released("b"))}, []string{"a"}},
		{"released twice", []step{list(evacuated("a")), change(released("a")), change(released("a"))}, nil},
		{"its fields can't be read", []step{list(), change(unreadable("a"))}, []string{"a"}},
		{"its fields can't be read any more", []step{list(evacuated("a")), change(unreadable("a"))}, []string{"a"}},
		{"an entry without a name beside another one", []step{list(unreadable(""), evacuated("a"))}, []string{"a"}},
		{"nothing new", []step{list(evacuated("a")), change()}, []string{"a"}},
	}
	for _, test := range tests {
		changes := 0
		z := evacuation.New(evacuation.Options{Clock: clock.System{}, Log: logr.Discard(), Changed: func() { changes++ }})
		qt.Check(t, z.Known(), qt.IsFalse)
		for _, s := range test.steps {
			if s.list {
				z.Replace(feed.Batch[platform.Evacuation]{Entries: s.entries})
			} else {
				z.Change(feed.Batch[platform.Evacuation]{Entries: s.entries})
			}
		}
		c := qt.Commentf(test.name)
		qt.Check(t, z.Names(), qt.DeepEquals, test.want, c)
		qt.Check(t, z.Known(), qt.IsTrue, c)
		qt.Check(t, changes, qt.Equals, len(test.steps), c)
		for _, zone := range test.want {
			qt.Check(t, z.Has(zone), qt.IsTrue, c)
		}
		qt.Check(t, z.Has("elsewhere"), qt.IsFalse, c)
	}
}
