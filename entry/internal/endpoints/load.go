package endpoints

import (
	"math"
	"sync"
	"time"
)

const (
	// meanTookWeight is the weight of the newest attempt in the mean time of a service's attempts: one in a hundred
	// takes five times as long, and must not double the expected wait of all others.
	meanTookWeight = 1.0 / 16
	// meanTimeConstant is the time constant of the mean number of attempts in flight: long enough for a host of a large
	// fleet, which rarely has one in flight, and short compared with the seconds of a burst.
	meanTimeConstant = time.Second
)

// load is this host's load on the replicas of a service.
type load struct {
	mu sync.Mutex
	// running is the number of attempts in flight, took the mean time of recent ones.
	running  int
	meanTook time.Duration
	// average is the mean of running, as of at.
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
	if l.meanTook == 0 {
		l.meanTook = took
	}
	l.meanTook += time.Duration(meanTookWeight * float64(took-l.meanTook))
}

// advance updates the mean to now.
func (l *load) advance(now time.Time) {
	decay := math.Exp(-now.Sub(l.at).Seconds() / meanTimeConstant.Seconds())
	l.average = decay*l.average + (1-decay)*float64(l.running)
	l.at = now
}

// mean returns the recent mean number of attempts in flight.
func (l *load) mean(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.average
}

// expectedWait returns the time until a number of waiting attempts are sent.
func (l *load) expectedWait(waiting int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(waiting) * l.meanTook / time.Duration(max(1, l.running))
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}
