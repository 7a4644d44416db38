package fairness

import (
	"math"
	"time"
)

const (
	// targetRatio is the expected wait that a pool is held at under overload, as a share of the time for which its
	// least patient requests can wait. The rest is for the replicas that are slower than most.
	targetRatio = 0.35
	// integralGain is the change of the refused share per second and per unit of the deviation from targetRatio,
	// directGain the immediate change. A higher gain makes many hosts, which see the wait only in their replies,
	// alternate between refusing too much and too little.
	integralGain, directGain = 0.7, 0.6
	// leak is the share of the refused share that is lost per second. Without it, the levels of hosts that measure the
	// same wait at different moments drift apart.
	leak = 0.1
	// smoothing is the time constant of the wait: the replies of one moment are those of a few requests.
	smoothing = 50 * time.Millisecond
	// maxRatio bounds the effect of one measurement, maxStep that of the time without one.
	maxRatio = 2
	maxStep  = 500 * time.Millisecond
	// idleRatio is the ratio below which nothing waits, and idleDecay the time constant with which the refused share
	// falls then: a burst that has ended must not have requests refused for seconds after it.
	idleRatio = 0.05
	idleDecay = 750 * time.Millisecond
	// maxChance is the maximum chance of a refusal; the requests that are admitted show when the queues have drained.
	maxChance = 0.95
)

// level is the share of its requests that a pool refuses: a proportional-integral control of the wait, as in the
// queue management PIE (RFC 8033).
//
// A chance that depends on the wait alone needs a long wait to refuse much. The wait then takes the time that the least
// patient requests have, and each host that measures it late refuses too little and then too much.
type level struct {
	integral, ratio float64
	at              time.Time
}

// update records the ratio of the expected wait to the time for which the least patient requests can wait, and returns
// the chance of a refusal.
func (l *level) update(now time.Time, ratio float64) float64 {
	gap := now.Sub(l.at)
	l.at = now
	ratio = min(ratio, maxRatio)
	step := min(gap, maxStep)
	l.ratio += (1 - math.Exp(-step.Seconds()/smoothing.Seconds())) * (ratio - l.ratio)
	if l.ratio < idleRatio || gap > maxStep {
		l.integral *= math.Exp(-gap.Seconds() / idleDecay.Seconds())
	}
	l.integral = min(1, max(0, l.integral+step.Seconds()*(integralGain*(ratio-targetRatio)-leak*l.integral)))
	return min(maxChance, max(0, l.integral+directGain*(l.ratio-targetRatio)))
}
