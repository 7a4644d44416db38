package arrivals

import (
	"math/rand/v2"
	"time"
)

// Poisson draws arrival times that do not depend on how fast earlier requests are answered.
//
// Callers come when they like. A tool that sends the next request once the last one is answered slows
// down together with what it measures, and a stall of a second counts as one slow request instead of
// the hundreds that would have met it.
type Poisson struct {
	rnd  *rand.Rand
	mean float64
	at   time.Duration
}

// New returns arrivals at rate a second, the same ones for the same seed; it panics unless rate is positive.
func New(rate float64, seed uint64) *Poisson {
	if rate <= 0 {
		panic("arrivals: the rate must be positive")
	}
	return &Poisson{rnd: rand.New(rand.NewPCG(seed, 1)), mean: float64(time.Second) / rate}
}

// Next returns the time of the next arrival since the start.
func (p *Poisson) Next() time.Duration {
	p.at += time.Duration(p.rnd.ExpFloat64() * p.mean)
	return p.at
}
