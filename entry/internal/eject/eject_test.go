package eject_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/eject"
)

// Guards against a replica that keeps getting requests although it answers 20 times slower than the others, as with a
// failing disk: every response that uses it is late. It must be ejected after a few attempts, probed at growing
// intervals, and used again after the first successful probe.
func TestSlowReplicaIsEjectedUntilProbeSucceeds(t *testing.T) {
	var s eject.State
	now := time.Unix(100, 0)
	qt.Assert(t, s.RecordFailure(now), qt.IsFalse)
	qt.Assert(t, s.RecordSuccess(), qt.IsFalse)
	qt.Assert(t, s.RecordFailure(now), qt.IsFalse)
	qt.Assert(t, s.InRotation(), qt.IsTrue)
	qt.Assert(t, s.RecordFailure(now), qt.IsFalse)
	qt.Assert(t, s.InRotation(), qt.IsFalse)

	// The first probe is due at once and succeeds: the replica returns without having been ejected.
	qt.Assert(t, s.ClaimProbe(now), qt.IsTrue)
	qt.Assert(t, s.ClaimProbe(now), qt.IsFalse)
	qt.Assert(t, s.RecordSuccess(), qt.IsFalse)
	qt.Assert(t, s.InRotation(), qt.IsTrue)

	s.RecordFailure(now)
	s.RecordFailure(now)
	qt.Assert(t, s.ClaimProbe(now), qt.IsTrue)
	qt.Assert(t, s.RecordFailure(now), qt.IsTrue)
	qt.Assert(t, s.InRotation(), qt.IsFalse)

	var probes []int
	for sec := range 60 {
		if s.ClaimProbe(now.Add(time.Duration(sec) * time.Second)) {
			probes = append(probes, sec)
			s.RecordFailure(now)
		}
	}
	qt.Assert(t, probes, qt.DeepEquals, []int{1, 3, 7, 15, 31, 47})
	qt.Assert(t, s.RecordSuccess(), qt.IsTrue)
	qt.Assert(t, s.InRotation(), qt.IsTrue)
	qt.Assert(t, s.ClaimProbe(now.Add(time.Hour)), qt.IsFalse)
}

func TestSlow(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		took, usual time.Duration
		want        bool
	}{{100 * ms, 5 * ms, true}, {19 * ms, 5 * ms, false}, {2 * ms, 100 * time.Microsecond, false}, {100 * ms, 0, false}} {
		qt.Assert(t, eject.Slow(test.took, test.usual), qt.Equals, test.want)
	}
}
