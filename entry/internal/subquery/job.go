package subquery

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/records"
)

// job is one subquery under way.
type job struct {
	ctx    context.Context
	cancel context.CancelFunc
	top    int
	ends   chan ended

	// mu is held by one call at a time; a job's calls come one after the other.
	mu sync.Mutex
	// calls counts the calls so far.
	calls int
	// replicas holds the replica of each shard whose try is under way.
	replicas map[int]string
	// untold holds the ends that no reply told yet.
	untold []ended
}

// ended is a try that came to its end.
type ended struct {
	shard   int
	replica string
	res     exchange.Result
}

// wait takes the ends of tries until none is under way or timeout is due. Where once is set it returns as soon as there
// is something to tell: a part that comes a moment after the first reply must not wait for a replica that pauses.
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

// tell writes what no reply told yet; merged says that the parts' records are merged.
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
