package guarded

import (
	"context"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/quarantine"
)

// Try is one try of one shard of a request.
type Try struct {
	// Fingerprint names the request by its content, Shard its part.
	Fingerprint string
	Shard       int
	Replica     *endpoints.Replica
	Call        endpoints.Call
}

// Send sends the try unless its request is known to crash replicas, and tells the quarantine how it ended.
func Send(ctx context.Context, q *quarantine.Quarantine, t Try) exchange.Result {
	var res exchange.Result
	err := q.Guard(ctx, t.Fingerprint, t.Shard, t.Replica.Process(), func() quarantine.Outcome {
		res = t.Replica.Send(ctx, t.Call)
		return outcome(&res)
	})
	if err != nil {
		return exchange.Result{Kind: upstream.KindNotSent, Detail: err.Error()}
	}
	return res
}

// outcome says what the end of a try tells of its request. A connection that broke is not enough: something between the
// two ends may drop connections of replicas that live, under one request in three for some seconds.
func outcome(res *exchange.Result) quarantine.Outcome {
	switch {
	case res.Kind == upstream.KindOK:
		return quarantine.Answered
	case res.Died:
		return quarantine.Broke
	}
	return quarantine.Left
}
