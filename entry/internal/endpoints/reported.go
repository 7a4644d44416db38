package endpoints

import (
	"math"
	"time"

	"guavaspring.org/core/opaque"
)

const (
	// paceDecay and queueDecay are the time constants with which a reported pace and a reported queue decay: two thirds
	// of the weight is lost after one. Interference on a shared machine comes and goes within half a second, and a
	// queue is empty or twice as long after a few replies.
	paceDecay  = 400 * time.Millisecond
	queueDecay = 150 * time.Millisecond
	// trustWeight is the weight of the newest reply in the share of accurate reports, and minTrust is the least share
	// at which reports are used. About one reply in twenty meets a pause or is long work, which no report predicts; a
	// report that is wrong for every second reply carries no information.
	trustWeight = 0.2
	minTrust    = 0.6
	// paceTolerance is the factor by which a reply may take longer or shorter than the reported pace for the report to
	// count as accurate.
	paceTolerance = 2.5
)

// loadReport is the load that a replica reports with its replies.
//
// It covers machines that replicas share with other programs, and queues that other hosts fill. If a replica becomes
// four times slower for half a second, its replies show it too late: a late reply is as often long work, so the first
// one has little weight, and once the slowness is measured the machine has recovered while the replica is avoided for
// seconds. And no host sees the requests of the others. The report shows both at once. It is weighted by how often it
// predicted the replies, since some replicas report nothing or a constant.
type loadReport struct {
	// pace is the factor by which work currently takes longer than usual, zero if never reported; queuePerSlot is the
	// number of waiting requests per slot.
	pace, queuePerSlot float64
	at                 time.Time
	// trust is the share of recent replies whose time matched the reported pace.
	trust float64
}

// observe stores the load reported with a reply that took ratio times the usual time; nil means no report.
func (p *loadReport) observe(now time.Time, reported *opaque.Load, ratio float64) {
	if reported == nil || reported.Pace <= 0 {
		return
	}
	if p.pace <= 0 {
		p.trust = 1
	}
	accurate := 0.0
	if ratio <= paceTolerance*reported.Pace && ratio >= reported.Pace/paceTolerance {
		accurate = 1
	}
	p.trust += trustWeight * (accurate - p.trust)
	p.pace, p.queuePerSlot, p.at = reported.Pace, float64(reported.Waiting)/float64(reported.Slots), now
}

// slowness returns the factor by which replies are expected to take longer than usual; measured is the factor shown by
// the replies themselves.
func (p *loadReport) slowness(now time.Time, measured float64) float64 {
	if !p.used() {
		return measured
	}
	return measured + p.trust*p.decay(now, paceDecay)*(p.pace-measured)
}

// used reports whether the replica reports its load, and accurately.
func (p *loadReport) used() bool { return p.pace > 0 && p.trust >= minTrust }

// queued returns the expected number of waiting requests per slot.
func (p *loadReport) queued(now time.Time) float64 {
	if p.pace <= 0 {
		return 0
	}
	return p.queuePerSlot * p.decay(now, queueDecay)
}

func (p *loadReport) decay(now time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-float64(now.Sub(p.at)) / float64(timeConstant))
}
