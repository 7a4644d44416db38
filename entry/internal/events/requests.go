package events

import "guavaspring.org/core/event"

// Events of admission and of the callers' API, from 1350 on.
var (
	Panicked     = event.New(1351, "request_panicked", "A request met a broken invariant: it was answered with status 500 and the host goes on; the line holds the stack.")
	AnswerBroken = event.New(1352, "answer_broken", "An answer could not be written to its client.")
	ShardDecided = event.New(1353, "shard_decided", "A second try, a wait or a miss was decided for one shard of an opaque request; why holds what decided it.")
	Forwarded    = event.New(1354, "request_forwarded", "An opaque request came to its end; ending says how.")
	LimitMoved   = event.New(1350, "admission_limit_moved", "The number of queries of a service that run at once on this host followed the upstream's replies.")
)

// Events of steering, 1600 to 1699.
var (
	Steered = event.New(1600, "caller_steered", "A caller was told which hosts to use for a service.")
)
