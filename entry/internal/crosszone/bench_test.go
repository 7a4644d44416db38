package crosszone_test

import (
	"testing"

	"guavaspring.org/entry/internal/crosszone"
)

// BenchmarkGroups measures the grouping that runs for each request over shards: 10 µs for 90 shards in five zones on
// one core of a busy machine.
func BenchmarkGroups(b *testing.B) {
	zones := []string{"a", "b", "c", "d", "e"}
	shards := spread(90, 3, zones, "a")
	for b.Loop() {
		crosszone.Groups(shards, zones[1:], 0.3)
	}
}
