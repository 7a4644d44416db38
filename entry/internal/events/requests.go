package events

import "guavaspring.org/core/event"

// Events of admission and of the callers' API, from 1350 on.
var (
	Panicked            = event.New(1351, "request_panicked", "A request hit a violated invariant: it was answered with status 500 and the host continues; the line holds the stack.")
	AnswerBroken        = event.New(1352, "answer_broken", "A response could not be written to its client, which may have received a part of it.")
	Forwarded           = event.New(1354, "request_forwarded", "An opaque request ended; ending is its outcome, and steps lists the decisions on each shard and their reasons.")
	Admitted            = event.New(1356, "request_admitted", "A request that must not run twice is about to be sent. Without a request_forwarded line after it, the host was lost in between.")
	LinesSkipped        = event.New(1355, "log_lines_skipped", "Log lines were dropped since the start by the rate limit of the log, or lost because the output was not read.")
	MemoryExceeded      = event.New(1358, "memory_exceeded", "A message of a peer was cut off or refused, as messages from peers take all memory that is set aside for them. Logged at most once a second; skipped is the number of lines left out since the start.")
	ConnectionsExceeded = event.New(1359, "connections_exceeded", "A client's connection was closed as soon as it was accepted, as the server has as many as it may. Logged at most once a second; skipped is the number of lines left out since the start.")
	AllowanceLost       = event.New(1357, "allowance_keeper_lost", "The host that keeps customers' allowances did not answer and is not asked for a second; the one that ranks second is asked, or this host uses its own share of the limits.")
	StartPartsKnown     = event.New(1370, "start_parts_known", "A host that has just started got the number of parts that customers' limits are divided into, and the number of hosts that served before, from the store or from another host.")
	StartPartsUnknown   = event.New(1371, "start_parts_unknown", "A host that has just started got no number of parts: the store and the seed hosts did not answer, or the store holds none. It grants tokens once it has discovered the other hosts.")
	StartPhaseEnded     = event.New(1372, "start_phase_ended", "The phase after a mass start is over, in which the hosts listed before it hold the customers' tokens; reason says whether its time was over or another host was found running. Reached is the number of listed hosts that answered, gone that of those where no process listens.")
	StartPartsWritten   = event.New(1373, "start_parts_written", "This host wrote the number of parts and the serving hosts of its zone to the store, for hosts that start.")
	RouteExplained      = event.New(1380, "route_explained", "The host explained to an operator where it would send a request; nothing was sent, and no later decision changes.")
	LimitMoved          = event.New(1350, "admission_limit_moved", "The concurrency limit of a service on this host was adapted to the upstream's replies.")
)

// Events of fair shares, 1360 to 1364.
var (
	SharesBegan = event.New(1360, "fair_shares_began", "This host refuses requests to the services of a pool by priority and fair share, as more come than can be answered in time; chance is the share that is refused.")
	SharesEnded = event.New(1361, "fair_shares_ended", "This host refuses no more requests to the services of a pool.")
)

// Events of address responses, which direct callers to hosts, 1600 to 1699.
var (
	Steered = event.New(1600, "caller_steered", "A caller received the hosts to use for a service.")
)
