package drainer

import (
	"math"
	"slices"
	"time"
)

const (
	// answerTime is the processor time that the answer to one request takes at most.
	answerTime = 100 * time.Microsecond
	// minShare is the least share of the time for which a process is assumed to run.
	minShare = 0.02
	// onTime is the delay up to which a timer counts as on time: those of a process that runs all the time are a little late.
	onTime = 3 * time.Millisecond
	// deviations is the number of standard deviations by which the number of timers on time may be too large.
	deviations = 1.5
	// exceptions is the share of the timers that are left out, the latest ones: a process that was paused once runs on as
	// before.
	exceptions = 0.1
)

// lateness holds how late the timers of this process fired, which shows for how much of the time it runs.
type lateness struct{ late []time.Duration }

// add adds the time by which a timer has fired late. The times between timers have to vary, or they may all fire within the
// same part of a pattern of pauses.
func (l *lateness) add(late time.Duration) { l.late = append(l.late, late) }

// usual returns how late the timers fired, in ascending order and without the exceptions.
func (l *lateness) usual() []time.Duration {
	list := slices.Sorted(slices.Values(l.late))
	return list[:len(list)-int(exceptions*float64(len(list)))]
}

// share returns the share of the time for which the process runs at least: that of the timers that fired on time, less what it
// may be too large by chance.
func share(late []time.Duration) float64 {
	n, _ := slices.BinarySearch(late, onTime+1)
	return max(minShare, (float64(n)-deviations*math.Sqrt(float64(n)))/float64(len(late)))
}

// timeToAnswer returns the time that it takes at most to answer n requests from a given moment on: the signal may have been
// received late, the timer for that moment fires late, and the process may be paused before the last answer.
func (l *lateness) timeToAnswer(n int) time.Duration {
	late := l.usual()
	if len(late) == 0 {
		return 0
	}
	latest := late[len(late)-1]
	return time.Duration(3*float64(latest)/(1-exceptions) + float64(n)*float64(answerTime)/share(late))
}
