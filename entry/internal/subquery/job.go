package subquery

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/records"
)

// job is one subquery in progress.
type job struct {
	ctx    context.Context
	cancel context.CancelFunc
	top    int
	ends   chan ended

	// mu serializes the calls for the job.
	mu sync.Mutex
	// calls counts the calls so far.
	calls int
	// replicas maps each shard whose attempt is in flight to its replica.
	replicas map[int]string
	// untold holds the finished attempts that no reply has reported yet.
	untold []ended
}

// ended is the result of a finished attempt.
type ended struct {
	shard   int
	replica string
	res     exchange.Result
}

// wait receives the results of attempts until none is in flight or timeout fires. If once is set, it returns as soon as
// there are results to report: a part that arrives shortly after the first reply must not wait for a stalled replica.
func (j *job) wait(timeout <-chan time.Time, once bool) {
	for len(j.replicas) > 0 {
		if once && len(j.untold) > 0 && len(j.ends) == 0 {
			return
		}
		select {
		case e := <-j.ends:
			delete(j.replicas, e.shard)
			j.untold = append(j.untold, e)
		case <-timeout:
			return
		case <-j.ctx.Done():
			return
		}
	}
}

// tell adds the unreported results and the pending shards to reply. If merged is set, the records of all parts are
// merged into one list instead of being sent per part.
func (j *job) tell(reply *Reply, merged bool) {
	var bodies [][]byte
	for _, e := range j.untold {
		if e.res.Kind != upstream.KindOK {
			reply.Failed = append(reply.Failed, Failure{Shard: e.shard, Replica: e.replica, Kind: e.res.Kind, Detail: e.res.Detail, Took: e.res.Took})
			continue
		}
		part := Part{Shard: e.shard, Stamp: e.res.Reply.Stamp, Took: e.res.Took}
		if merged {
			bodies = append(bodies, e.res.Body)
		} else {
			part.Body = e.res.Body
		}
		reply.Parts = append(reply.Parts, part)
	}
	j.untold = nil
	reply.Records = records.Top(bodies, j.top)
	for shard, replica := range j.replicas {
		reply.Pending = append(reply.Pending, Pending{Shard: shard, Replica: replica})
	}
}
