package subquery

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/records"
)

// job is one subquery in progress.
type job struct {
	ctx        context.Context
	cancel     context.CancelFunc
	maxRecords int
	results    chan attemptResult
	// memory is the reservation of the replies, released once the subquery ends.
	memory *memory.Reservation

	// mu serializes the calls for the job.
	mu sync.Mutex
	// calls counts the calls so far.
	calls int
	// inFlight maps each shard whose attempt is in flight to its replica.
	inFlight map[int]string
	// unreported holds the finished attempts that no reply has reported yet.
	unreported []attemptResult
}

// attemptResult is the result of a finished attempt.
type attemptResult struct {
	shard   int
	replica string
	res     exchange.Result
}

// awaitResults receives the results of attempts until none is in flight or timeout fires. If untilFirst is set, it
// returns as soon as there are results to report: a part that arrives shortly after the first reply must not wait for a
// stalled replica.
func (j *job) awaitResults(timeout <-chan time.Time, untilFirst bool) {
	for len(j.inFlight) > 0 {
		if untilFirst && len(j.unreported) > 0 && len(j.results) == 0 {
			return
		}
		select {
		case e := <-j.results:
			delete(j.inFlight, e.shard)
			j.unreported = append(j.unreported, e)
		case <-timeout:
			return
		case <-j.ctx.Done():
			return
		}
	}
}

// report adds the unreported results and the pending shards to reply. If merged is set, the records of all parts are
// merged into one list instead of being sent per part.
func (j *job) report(reply *Reply, merged bool) {
	var bodies [][]byte
	for _, e := range j.unreported {
		if e.res.Kind != upstream.KindOK {
			reply.Failed = append(reply.Failed, Failure{Shard: e.shard, Replica: e.replica, Kind: e.res.Kind, Detail: e.res.Detail, Took: e.res.Took, LateID: e.res.LateID})
			continue
		}
		part := Part{Shard: e.shard, Stamp: e.res.Reply.Stamp, Took: e.res.Took, LateID: e.res.LateID}
		if merged {
			bodies = append(bodies, e.res.Body)
		} else {
			part.Body = e.res.Body
		}
		reply.Parts = append(reply.Parts, part)
	}
	j.unreported = nil
	reply.Records = records.Top(bodies, j.maxRecords)
	for shard, replica := range j.inFlight {
		reply.Pending = append(reply.Pending, Pending{Shard: shard, Replica: replica})
	}
}
