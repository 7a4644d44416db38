package queueing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/queueing"
)

// Guards against taking pauses or slow replicas for queues: requests refused for them could have been served by the
// others. Replies take 10 ms of work; only a wait that the healthy replicas have too counts as queueing.
func TestDelay(t *testing.T) {
	const work = 10 * time.Millisecond
	tests := []struct {
		name  string
		took  []time.Duration
		age   time.Duration
		delay time.Duration
	}{
		{"nothing was seen", nil, 0, 0},
		{"two replies are no sign", []time.Duration{90, 90}, 0, 0},
		{"one in twelve pauses", []time.Duration{10, 9, 11, 10, 130, 10, 10, 12, 10, 10, 9, 10}, 0, 0},
		{"half of the replicas are four times slower", []time.Duration{10, 40, 10, 42, 40, 10, 10, 44, 10, 40, 11, 40}, 0, 0},
		{"all have a queue", []time.Duration{30, 42, 30, 35, 130, 30, 36, 30, 30, 30, 31, 38}, 0, 20},
		{"the queue was there a second ago", []time.Duration{30, 30, 30, 30}, time.Second, 0},
	}
	for _, test := range tests {
		var d queueing.Delay
		now := time.Unix(1000, 0)
		for _, took := range test.took {
			d.Observe(now, took*time.Millisecond, work)
		}
		qt.Check(t, d.At(now.Add(test.age)), qt.Equals, test.delay*time.Millisecond, qt.Commentf("%s", test.name))
	}
}
