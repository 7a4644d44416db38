package endpoints

import (
	"math"
	"time"

	"guavaspring.org/core/opaque"
)

const (
	// paceForget and queueForget are the time constants with which a reported pace and a reported queue decay: two
	// thirds of the weight is lost after one. Interference on a shared machine comes and goes within half a second, and
	// a queue is empty or twice as long after a few replies.
	paceForget  = 400 * time.Millisecond
	queueForget = 150 * time.Millisecond
	// trustWeight is the weight of the newest reply in the share of accurate reports, and believedFrom is the least
	// share at which reports are used. About one reply in twenty meets a pause or is long work, which no report
	// predicts; a report that is wrong for every second reply carries no information.
	trustWeight  = 0.2
	believedFrom = 0.6
	// foretold is the factor by which a reply may take longer or shorter than the reported pace for the report to count
	// as accurate.
	foretold = 2.5
)

// reported is the load that a replica reports with its replies.
//
// It covers machines that replicas share with other programs, and queues that other hosts fill. If a replica becomes
// four times slower for half a second, its replies show it too late: a late reply is as often long work, so the first
// one has little weight, and once the slowness is measured the machine has recovered while the replica is avoided for
// seconds. And no host sees the requests of the others. The report shows both at once. It is weighted by how often it
// predicted the replies, since some replicas report nothing or a constant.
type reported struct {
	// pace is the factor by which work currently takes longer than usual, zero if never reported; queue is the number
	// of waiting requests per slot.
	pace, queue float64
	at          time.Time
	// trust is the share of recent replies whose time matched the reported pace.
	trust float64
}

// note stores the load reported with a reply that took x times the usual; nil means no report.
func (p *reported) note(now time.Time, word *opaque.Load, x float64) {
	if word == nil || word.Pace <= 0 {
		return
	}
	if p.pace <= 0 {
		p.trust = 1
	}
	held := 0.0
	if x <= foretold*word.Pace && x >= word.Pace/foretold {
		held = 1
	}
	p.trust += trustWeight * (held - p.trust)
	p.pace, p.queue, p.at = word.Pace, float64(word.Waiting)/float64(word.Slots), now
}

// slowness returns the factor by which replies are expected to take longer than usual, where learned is the measured
// one.
func (p *reported) slowness(now time.Time, learned float64) float64 {
	if p.pace <= 0 || p.trust < believedFrom {
		return learned
	}
	return learned + p.trust*p.fade(now, paceForget)*(p.pace-learned)
}

// queued returns the expected number of waiting requests per slot.
func (p *reported) queued(now time.Time) float64 {
	if p.pace <= 0 {
		return 0
	}
	return p.queue * p.fade(now, queueForget)
}

func (p *reported) fade(now time.Time, forget time.Duration) float64 {
	return math.Exp(-float64(now.Sub(p.at)) / float64(forget))
}
