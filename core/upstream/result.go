package upstream

import (
	"encoding/json"
	"time"
)

// Kind is the outcome of an attempt, as far as this side can be certain of it.
type Kind string

// The outcomes of an attempt.
const (
	// KindOK means that the reply is complete and belongs to the request.
	KindOK Kind = "ok"
	// KindVersionGone means that the replica no longer holds the pinned version.
	KindVersionGone Kind = "version_gone"
	// KindShed means that the replica was overloaded and reported that it did not run the request.
	KindShed Kind = "shed"
	// KindDraining means that the replica is draining and reported that it did not run the request.
	KindDraining Kind = "draining"
	// KindRefused means that the replica refused the request for another reason and reported that it did not run it.
	KindRefused Kind = "refused"
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindSilent means that nothing arrived on the connection while other connections to the replica progressed; the
	// request may have run.
	KindSilent Kind = "silent"
	// KindCanceled means that this side stopped waiting; the request may have run.
	KindCanceled Kind = "canceled"
	// KindBroken means that the connection broke after bytes were sent; the request may have run.
	KindBroken Kind = "broken"
	// KindForeign means that the reply belongs to another request, shard or version and was discarded.
	KindForeign Kind = "foreign"
	// KindError means that the replica replied with another error; the request may have run.
	KindError Kind = "error"
)

// NotRun reports whether the kind proves that the request did not run.
func (k Kind) NotRun() bool {
	return k == KindShed || k == KindDraining || k == KindRefused || k == KindNotSent
}

// Result is the outcome of one attempt. It is a value rather than an error because callers handle each kind
// differently.
type Result struct {
	Kind Kind
	// Detail describes the failure, for logs and explanations; it is empty for KindOK.
	Detail string
	// Query is set if a query ended with KindOK.
	Query QueryReply
	// Write is set if a write ended with KindOK.
	Write json.RawMessage
	// Took is the time from the start of the attempt to its end.
	Took time.Duration
	// Holdings is the raw value of HeaderVersions of the reply, empty if there was none.
	Holdings string
	// Draining is set if the reply says that the replica is draining.
	Draining bool
	// Claimed is the raw value of HeaderLoad of the reply.
	Claimed string
}
