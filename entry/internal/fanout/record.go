package fanout

import (
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/replica"
)

// fractionSteps is the number of distinct values of a random fraction between 0 and 1.
const fractionSteps = 1 << 20

// recordEnd updates the latency estimates and the concurrency limit of the replica from an ended attempt, and returns
// its duration.
func (run *Runner) recordEnd(r *replica.Replica, began time.Time, slots int, res upstream.Result) time.Duration {
	now := run.opts.Clock.Now()
	took := now.Sub(began)
	running := r.Running()
	r.End(began, took, res.Kind == upstream.KindOK)
	switch res.Kind {
	case upstream.KindOK:
		run.policy.Observe(now, took)
		r.Limit.RecordReply(now, running, slots, run.randomFraction())
	case upstream.KindShed:
		run.policy.Refused(now)
		r.Limit.RecordShed(now, run.policy.Median(), run.randomFraction())
	case upstream.KindCanceled:
		if delay := run.policy.Delay(); delay > 0 && took >= delay {
			run.policy.Observe(now, took)
		}
	}
	return took
}

func (run *Runner) randomFraction() float64 {
	return float64(run.opts.IntN(fractionSteps)) / fractionSteps
}

// recordSpeed records a strike or a success for the replica, by the duration of an attempt that ended or was canceled.
func (run *Runner) recordSpeed(got *result, usual time.Duration, holders []*replica.Replica, now time.Time) {
	switch {
	case isSlow(got.replica, got.took, usual, holders, now):
		run.strike(got.replica, now, "slow attempt: "+got.took.String()+"; usual is "+usual.String())
	case got.res.Kind == upstream.KindOK:
		run.recordSuccess(got.replica, "a reply within the usual time")
	}
}

func (run *Runner) strike(r *replica.Replica, now time.Time, why string) {
	if r.Eject.RecordFailure(now) {
		run.opts.Judged(r, true, why)
	}
}

func (run *Runner) recordSuccess(r *replica.Replica, why string) {
	if r.Eject.RecordSuccess() {
		run.opts.Judged(r, false, why)
	}
}

// judgeProbe returns an ejected replica to rotation if its probe was answered in the usual time of the service. Its
// latency estimate and its concurrency limit are reset, so that it starts with one request in flight.
func (run *Runner) judgeProbe(r *replica.Replica, res upstream.Result, took time.Duration) {
	usual := run.policy.Median()
	switch {
	case res.Kind.NotRun() && res.Kind != upstream.KindNotSent, res.Kind == upstream.KindVersionGone:
		// A rejected probe gives no information on the replica's speed.
	case res.Kind == upstream.KindOK && (usual == 0 || took <= probeFactor*usual+probeFloor):
		r.SetLatency(took)
		r.Limit.Reset()
		run.recordSuccess(r, "probe answered in "+took.String())
	default:
		run.strike(r, run.opts.Clock.Now(), "probe ended as "+string(res.Kind)+" after "+took.String()+"; usual is "+usual.String())
	}
}

const (
	// probeFactor and probeFloor bound the duration of a successful probe relative to the usual reply time. The bound
	// is below the one for slow attempts, so that a replica does not alternate between ejected and in rotation.
	probeFactor = 2
	probeFloor  = 2 * time.Millisecond
)
