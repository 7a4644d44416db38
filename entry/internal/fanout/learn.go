package fanout

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/replica"
)

// spreads is the number of steps in which a random number between 0 and 1 is drawn.
const spreads = 1 << 20

// end takes over what a try tells of the replica's speed and room, and returns how long it took.
func (run *Runner) end(r *replica.Replica, began time.Time, slots int, res upstream.Result) time.Duration {
	now := run.opts.Clock.Now()
	took := now.Sub(began)
	running := r.Running()
	r.End(began, took, res.Kind == upstream.KindOK)
	switch res.Kind {
	case upstream.KindOK:
		run.policy.Observe(now, took)
		r.Limit.Answered(now, running, slots, run.spread())
	case upstream.KindShed:
		run.policy.Refused(now)
		r.Limit.Refused(now, run.policy.Median(), run.spread())
	case upstream.KindCanceled:
		if delay := run.policy.Delay(); delay > 0 && took >= delay {
			run.policy.Observe(now, took)
		}
	}
	return took
}

func (run *Runner) spread() float64 { return float64(run.opts.IntN(spreads)) / spreads }

// judge counts a try for or against its replica by the time that it took, or had run when it was given up.
func (run *Runner) judge(got *result, usual time.Duration, holders []*replica.Replica, now time.Time) {
	switch {
	case slowOf(got.replica, got.took, usual, holders, now):
		run.strike(got.replica, now, "slow: "+got.took.String()+", where others of the query take "+usual.String())
	case got.res.Kind == upstream.KindOK:
		run.good(got.replica, "an answer in good time")
	}
}

func (run *Runner) strike(r *replica.Replica, now time.Time, why string) {
	if r.Eject.Strike(now) {
		run.opts.Judged(r, true, why)
	}
}

func (run *Runner) good(r *replica.Replica, why string) {
	if r.Eject.Good() {
		run.opts.Judged(r, false, why)
	}
}

// judgeTrial brings a replica back whose single try was answered in the service's usual time. What was learned of it
// before is forgotten, and it starts with one try at once.
func (run *Runner) judgeTrial(r *replica.Replica, res upstream.Result, took time.Duration) {
	usual := run.policy.Median()
	switch {
	case res.Kind.NotRun() && res.Kind != upstream.KindNotSent, res.Kind == upstream.KindVersionGone:
		// A refusal says nothing of its speed.
	case res.Kind == upstream.KindOK && (usual == 0 || took <= trialFactor*usual+trialFloor):
		r.SetLatency(took)
		r.Limit.Reset()
		run.good(r, "a single try was answered in "+took.String())
	default:
		run.strike(r, run.opts.Clock.Now(), "a single try was "+string(res.Kind)+" after "+took.String()+"; usual is "+usual.String())
	}
}

const (
	// trialFactor and trialFloor are how long a good single try may take beside the usual reply time: less than what
	// counts as slow, so that a replica doesn't go in and out.
	trialFactor = 2
	trialFloor  = 2 * time.Millisecond
)
