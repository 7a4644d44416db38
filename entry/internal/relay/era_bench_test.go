package relay_test

import (
	"fmt"
	"testing"
	"time"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/relay"
)

// BenchmarkNewEra applies a list of a new era, in which one row in a hundred has changed, and computes the changes for
// a host that is up to date with the copy.
func BenchmarkNewEra(b *testing.B) {
	for _, n := range []int{282, 4228, 24000} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			now := time.Now()
			sent := 0
			for range b.N {
				b.StopTimer()
				c := relay.NewCopy(relay.Options[platform.Replica]{Older: platform.Replica.OlderThan})
				old := replicaList(n)
				old.Era = 1
				c.ApplyList(old, now, false)
				before, _ := c.State()
				list := replicaList(n)
				list.Era = 2
				for i := 0; i < n; i += 100 {
					list.Entries[i].Value.Sequence++
				}
				b.StartTimer()
				c.ApplyList(list, now, false)
				news, _, _ := c.Since(feed.Position{Era: before.Era, Revision: before.Revision})
				sent = len(news.Entries)
			}
			b.ReportMetric(float64(sent), "rows/host")
		})
	}
}
