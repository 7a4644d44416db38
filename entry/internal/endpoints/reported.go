package endpoints

import (
	"math"
	"time"

	"guavaspring.org/core/opaque"
)

const (
	// paceForget and queueForget are the times in which what a replica reported of its speed and of its queue loses two
	// thirds of its weight: the work beside it on its machine comes and goes within half a second, and a queue is gone
	// or twice as long within the time of some replies.
	paceForget  = 400 * time.Millisecond
	queueForget = 150 * time.Millisecond
	// trustWeight is the weight of the newest reply in how often the replica's word foretold its replies, and
	// believedFrom is from where on it counts. One reply in twenty meets a pause or is long work, which no word
	// foretells; a word that is wrong for every second one says nothing.
	trustWeight  = 0.2
	believedFrom = 0.6
	// foretold is how many times longer than the reported pace a reply may take, or shorter, for the word to hold.
	foretold = 2.5
)

// reported is what a replica says of itself with its replies.
//
// It answers machines that replicas share with others, and queues that other hosts fill. Of a replica that turns four
// times slower for half a second a host learns by the replies that come late, which are as often long pieces of work,
// so that it counts the first one little; by the time that it knows, the machine is as quick as before, and the replica
// is left alone for seconds. And of many hosts none sees what the others send. The replica's word tells both at
// once. Its speed is believed as far as it foretold the replies: some replicas say nothing, or the same always.
type reported struct {
	// pace is how long work takes there, in times of the usual, zero where that was never said; queue is how many
	// requests wait, in times of the slots.
	pace, queue float64
	at          time.Time
	// trust is the share of the latest replies that took about as long as the pace had them take.
	trust float64
}

// note takes over the word of a reply that took x times the usual; nil is none.
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

// slowness returns how many times longer than usual replies take, where learned is what the replies themselves showed.
func (p *reported) slowness(now time.Time, learned float64) float64 {
	if p.pace <= 0 || p.trust < believedFrom {
		return learned
	}
	return learned + p.trust*p.fade(now, paceForget)*(p.pace-learned)
}

// queued returns how many requests are expected to wait there, in times of the slots.
func (p *reported) queued(now time.Time) float64 {
	if p.pace <= 0 {
		return 0
	}
	return p.queue * p.fade(now, queueForget)
}

func (p *reported) fade(now time.Time, forget time.Duration) float64 {
	return math.Exp(-float64(now.Sub(p.at)) / float64(forget))
}
