package endpoints

import (
	"math"
	"sync"
	"time"
)

const (
	// tookWeight is the weight of the newest try in the mean time of a service's tries: one in a hundred takes five
	// times as long, and must not double what all others are expected to wait.
	tookWeight = 1.0 / 16
	// meanOver is the time over which the tries under way are averaged: long enough for a host of a large fleet, which
	// has one under way now and then, and short beside the seconds of a burst.
	meanOver = time.Second
)

// load is how busy this host keeps the replicas of a service.
type load struct {
	mu sync.Mutex
	// running counts the tries under way, took is how long the late ones took.
	running int
	took    time.Duration
	// average is the mean of running as of at.
	average float64
	at      time.Time
}

func (l *load) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.running++
}

func (l *load) end(now time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.running--
	if l.took == 0 {
		l.took = took
	}
	l.took += time.Duration(tookWeight * float64(took-l.took))
}

// advance brings the mean up to now.
func (l *load) advance(now time.Time) {
	old := math.Exp(-now.Sub(l.at).Seconds() / meanOver.Seconds())
	l.average = old*l.average + (1-old)*float64(l.running)
	l.at = now
}

// mean returns how many tries were under way lately.
func (l *load) mean(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.average
}

// wait returns how long a number of waiting tries take to be sent.
func (l *load) wait(waiting int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(waiting) * l.took / time.Duration(max(1, l.running))
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}
