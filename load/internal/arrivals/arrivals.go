package arrivals

import (
	"math/rand/v2"
	"time"
)

// Poisson generates the arrival times of an open-loop load, independent of the latency of earlier requests.
//
// A closed loop, which sends the next request after the previous answer, slows down together with the system under
// test (coordinated omission): it counts a stall of one second as one slow request instead of the hundreds that would
// have arrived meanwhile.
type Poisson struct {
	rnd  *rand.Rand
	mean float64
	at   time.Duration
}

// New returns arrivals at rate per second, identical for equal seeds; it panics unless rate is positive.
func New(rate float64, seed uint64) *Poisson {
	if rate <= 0 {
		panic("arrivals: rate must be positive")
	}
	return &Poisson{rnd: rand.New(rand.NewPCG(seed, 1)), mean: float64(time.Second) / rate}
}

// Next returns the time of the next arrival since the start.
func (p *Poisson) Next() time.Duration {
	p.at += time.Duration(p.rnd.ExpFloat64() * p.mean)
	return p.at
}
