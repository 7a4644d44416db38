package snapshot_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/snapshot"
)

// vm returns a shard map whose least replicated shard has least holders.
func vm(version int64, shards, least int) replica.VersionMap {
	m := replica.VersionMap{Version: version, Holders: make([][]*replica.Replica, shards), Least: least, Held: shards}
	if least == 0 {
		m.Held--
	}
	return m
}

// Guards against queries that change their version with each lost replica, so that results appear, disappear and appear
// again. Queries move to a newer version once it has enough holders, and back only if no newer version is complete.
func TestPickChangesVersion(t *testing.T) {
	type views [][]replica.VersionMap
	for _, test := range []struct {
		name  string
		views views
		want  []int64
	}{
		{"the newest version with two holders of every shard", views{{vm(3, 4, 1), vm(2, 4, 2), vm(1, 4, 3)}}, []int64{2}},
		{"a new version waits for its second holders", views{{vm(1, 4, 3)}, {vm(2, 4, 1), vm(1, 4, 3)}, {vm(2, 4, 2), vm(1, 4, 2)}}, []int64{1, 1, 2}},
		{"a lost replica doesn't bring the old version back", views{{vm(2, 4, 2), vm(1, 4, 2)}, {vm(2, 4, 1), vm(1, 4, 2)}}, []int64{2, 2}},
		{"a lost shard does if the old version is complete", views{{vm(2, 4, 2), vm(1, 4, 2)}, {vm(2, 4, 0), vm(1, 4, 1)}, {vm(2, 4, 1), vm(1, 4, 2)}, {vm(2, 4, 2), vm(1, 4, 2)}}, []int64{2, 1, 1, 2}},
		{"replicas change versions one by one", views{{vm(1, 4, 3)}, {vm(2, 4, 1), vm(1, 4, 2)}, {vm(2, 4, 2), vm(1, 4, 1)}, {vm(2, 4, 3)}}, []int64{1, 1, 2, 2}},
		{"one replica for each shard", views{{vm(1, 4, 1)}, {vm(2, 4, 1), vm(1, 4, 1)}}, []int64{1, 2}},
		{"a rollback by dropping the newer version", views{{vm(2, 4, 3), vm(1, 4, 3)}, {vm(1, 4, 3)}}, []int64{2, 1}},
		{"no complete version: the one with the larger share", views{{vm(2, 2, 0), vm(1, 4, 0)}}, []int64{1}},
		{"no version known", views{{}}, []int64{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := snapshot.New(snapshot.Options{})
			for i, versions := range test.views {
				got, ok := p.Pick(&replica.View{Versions: versions})
				qt.Assert(t, got.Version, qt.Equals, test.want[i], qt.Commentf("step %d", i))
				qt.Assert(t, ok, qt.Equals, test.want[i] != 0)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	p := snapshot.New(snapshot.Options{})
	view := &replica.View{Versions: []replica.VersionMap{vm(2, 69, 1), vm(1, 69, 3)}}
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(view)
	}
}
