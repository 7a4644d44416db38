package events

import "guavaspring.org/core/event"

// Events of admission and of the callers' API, from 1350 on.
var (
	Panicked      = event.New(1351, "request_panicked", "A request met a broken invariant: it was answered with status 500 and the host goes on; the line holds the stack.")
	AnswerBroken  = event.New(1352, "answer_broken", "An answer could not be written to its client.")
	Forwarded     = event.New(1354, "request_forwarded", "An opaque request came to its end; ending says how, and steps what was decided about each shard and why.")
	Admitted      = event.New(1356, "request_admitted", "A request that must not run twice is about to be sent. Without a request_forwarded line after it, the host was lost meanwhile.")
	LinesSkipped  = event.New(1355, "log_lines_skipped", "Lines were left out since the start, to keep the log within its limit, or lost since the output was not read.")
	AllowanceLost = event.New(1357, "allowance_keeper_lost", "The host that keeps customers' allowances did not answer and is not asked for a second; the one that ranks second is asked, or this host uses its own part of the limits.")
	LimitMoved    = event.New(1350, "admission_limit_moved", "The number of queries of a service that run at once on this host followed the upstream's replies.")
)

// Events of steering, 1600 to 1699.
var (
	Steered = event.New(1600, "caller_steered", "A caller was told which hosts to use for a service.")
)
