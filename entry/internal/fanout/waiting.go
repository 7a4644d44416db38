package fanout

import (
	"time"
)

const (
	// lookAgain is how soon a shard whose replicas are all at their limit looks for a free one, as one part of the
	// usual reply time. Where all of them have shed it, each further look comes after twice the time.
	lookAgain = 4
	// mostRounds bounds the doubling.
	mostRounds = 5
	// shortestLook and longestLook bound that time.
	shortestLook = 250 * time.Microsecond
	longestLook  = 5 * time.Millisecond
)

// again lets a shard that every replica has shed ask them once more, later.
//
// It answers slots that many hosts share. Five slots that are used at sixty percent refuse one try in nine by
// chance alone, and one host sees too little of the load to know which. A shard given up for that is a hole in
// a page that a wait of a few milliseconds would have filled.
func (p *plan) again(i int, why string) {
	s := &p.shards[i]
	s.n, s.shed = 0, false
	s.next = p.now.Add(p.pause() << min(s.rounds, mostRounds))
	s.rounds++
	p.hold(i, WhatRetry, why)
}

func (p *plan) pause() time.Duration {
	return min(max(p.run.policy.Median()/lookAgain, shortestLook), longestLook)
}

// hold makes a shard wait for a free replica while an answer can still come in time.
//
// It answers a burst that is larger than what the replicas run at once. Giving the shard up at once thins
// pages that a wait of a few milliseconds would fill; sending anyway is shed, and then sent again. The wait
// ends as soon as what is left of the deadline is less than a reply usually takes.
func (p *plan) hold(i int, what, why string) {
	s := &p.shards[i]
	if !p.timeLeft() {
		p.busy = true
		p.miss(i, nil, join(why, "every replica is at its limit"))
		return
	}
	if s.wait == "" {
		s.wait, s.why = what, why
		p.waiting++
		p.decide(WhatWait, i, nil, join(why, "every replica is at its limit"))
	}
	next := s.next
	if !next.After(p.now) {
		next = p.now.Add(p.pause())
	}
	p.lookAt = earliest(p.lookAt, next)
}

func (p *plan) release(s *shard) {
	if s.wait != "" {
		s.wait, s.why = "", ""
		p.waiting--
	}
}

// timeLeft reports whether a try sent now would usually be answered in time.
func (p *plan) timeLeft() bool {
	return p.now.Add(p.run.policy.Median()).Before(p.req.Deadline)
}

func (p *plan) look() {
	if p.waiting == 0 {
		return
	}
	for i := range p.shards {
		s := &p.shards[i]
		switch {
		case s.wait == "" || s.closed:
		case s.next.After(p.now):
			p.hold(i, s.wait, s.why)
		default:
			p.try(i, s.wait, s.why)
		}
	}
}
