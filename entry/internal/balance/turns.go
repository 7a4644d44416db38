package balance

import (
	"math"
	"sync/atomic"
)

const (
	// maxLag bounds how far the turn of a replica falls behind while it gets no requests, in requests to a replica of the
	// usual speed: one that is used again gets a request at once, but not a burst of them.
	maxLag = 1
	// minSlowness is the lowest slowness that counts: a few fast replies must not attract all requests.
	minSlowness = 0.5
)

// Turns gives the replicas of a service their turns. Each request raises the turn of its replica by its slowness, and
// the lowest turn goes first, so that a replica twice as fast gets twice the requests (stride scheduling). The zero value
// is ready to use.
type Turns struct {
	// newest holds the bits of the highest turn that a request was sent in.
	newest atomic.Uint64
}

// At returns the turn of a replica whose turn was set after its last request, zero if there was none.
func (t *Turns) At(turn float64) float64 {
	return max(turn, math.Float64frombits(t.newest.Load())-maxLag)
}

// Sent returns the turn of a replica after one more request, given the turn before it and the replica's slowness.
func (t *Turns) Sent(turn, slowness float64) float64 {
	turn = t.At(turn)
	// Two requests at the same time may store in either order; the next one corrects it.
	if turn > math.Float64frombits(t.newest.Load()) {
		t.newest.Store(math.Float64bits(turn))
	}
	return turn + max(slowness, minSlowness)
}
