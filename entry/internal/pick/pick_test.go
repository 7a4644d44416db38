package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/pick"
)

const usual = 30 * time.Millisecond

var need = pick.Need{Usual: usual, Within: 200 * time.Millisecond}

func estimate(r pick.Replica) time.Duration { return pick.Estimate(r, usual, 0) }

// Guards against a wrong ranking of two replicas of a shard. In each row, better must rank before worse.
func TestPreference(t *testing.T) {
	near := pick.Replica{Slowness: 1, Near: true}
	with := func(change func(*pick.Replica)) pick.Replica {
		r := near
		change(&r)
		return r
	}
	far := with(func(r *pick.Replica) { r.Near = false })
	tests := []struct {
		name          string
		better, worse pick.Replica
	}{
		{"the own zone", near, far},
		{"the own zone, though one request runs there", with(func(r *pick.Replica) { r.Running = 1 }), far},
		{"the own zone, though one request runs there and another zone is twice as fast as usual", with(func(r *pick.Replica) { r.Running = 1 }),
			pick.Replica{Slowness: 0.5}},
		{"another zone rather than a queue", far, with(func(r *pick.Replica) { r.Running = 3 })},
		{"another zone rather than a slow one", far, with(func(r *pick.Replica) { r.Slowness = 3 })},
		{"another zone rather than one with an overdue request", far, with(func(r *pick.Replica) { r.Running, r.Oldest = 1, 80*time.Millisecond })},
		{"another zone rather than one that fails", far, with(func(r *pick.Replica) { r.Failures = 0.5 })},
		{"another zone rather than one that has just started", far, with(func(r *pick.Replica) { r.Cold = true })},
		{"a cold one rather than one ten times slower", with(func(r *pick.Replica) { r.Cold = true }), with(func(r *pick.Replica) { r.Slowness = 10 })},
	}
	for _, test := range tests {
		b, w := estimate(test.better), estimate(test.worse)
		qt.Check(t, need.Before(test.better, b, test.worse, w), qt.IsTrue, qt.Commentf("%s: %v, %v", test.name, b, w))
		qt.Check(t, need.Before(test.worse, w, test.better, b), qt.IsFalse, qt.Commentf("%s: %v, %v", test.name, b, w))
	}
}

// Guards against all hosts selecting the same of two equal replicas because its estimate is slightly lower: the random
// part of an estimate has to exceed such differences.
func TestEqualsAreSpread(t *testing.T) {
	r := pick.Replica{Slowness: 1, Near: true}
	slightly := pick.Replica{Slowness: 1.05, Near: true}
	qt.Assert(t, pick.Estimate(r, usual, 0.9) > pick.Estimate(slightly, usual, 0.1), qt.IsTrue)
}

// Guards against late answers under overload for the sake of zone-local traffic: where requests queue at the replicas,
// one in another zone with a shorter queue ranks before the one in the own zone.
func TestShortestQueueGoesFirstUnderLoad(t *testing.T) {
	near, far := pick.Replica{Slowness: 1.5, Near: true, Running: 1}, pick.Replica{Slowness: 1}
	for _, queues := range []bool{false, true} {
		n := pick.Need{Usual: usual, Within: 200 * time.Millisecond, Queues: queues}
		qt.Check(t, n.Before(near, estimate(near), far, estimate(far)), qt.Equals, !queues)
	}
}
