package endpoints

import (
	"math"
	"sync"
	"time"
)

const (
	// tookWeight is the weight of the newest attempt in the mean time of a service's attempts: one in a hundred takes
	// five times as long, and must not double the expected wait of all others.
	tookWeight = 1.0 / 16
	// meanOver is the time constant of the mean number of attempts in flight: long enough for a host of a large fleet,
	// which rarely has one in flight, and short compared with the seconds of a burst.
	meanOver = time.Second
)

// load is this host's load on the replicas of a service.
type load struct {
	mu sync.Mutex
	// running is the number of attempts in flight, took the mean time of recent ones.
	running int
	took    time.Duration
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
	if l.took == 0 {
		l.took = took
	}
	l.took += time.Duration(tookWeight * float64(took-l.took))
}

// advance updates the mean to now.
func (l *load) advance(now time.Time) {
	old := math.Exp(-now.Sub(l.at).Seconds() / meanOver.Seconds())
	l.average = old*l.average + (1-old)*float64(l.running)
	l.at = now
}

// mean returns the recent mean number of attempts in flight.
func (l *load) mean(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.average
}

// wait returns the time until a number of waiting attempts are sent.
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
