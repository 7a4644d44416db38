package attempt

import (
	"context"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/quarantine"
)

// Try is one attempt of one shard of a request.
type Try struct {
	// Fingerprint identifies the request by its content; Shard is the index of the shard.
	Fingerprint string
	Shard       int
	Replica     *endpoints.Replica
	Call        endpoints.Call
}

// Send sends the attempt unless its request is quarantined, and reports its outcome to the quarantine.
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

// outcome returns the quarantine outcome of an attempt. A broken connection alone doesn't count as a crash: a network
// fault may drop connections to live replicas, in some cases under one request in three for some seconds.
func outcome(res *exchange.Result) quarantine.Outcome {
	switch {
	case res.Kind == upstream.KindOK:
		return quarantine.Answered
	case res.Died:
		return quarantine.Broke
	}
	return quarantine.Inconclusive
}
