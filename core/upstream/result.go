package upstream

import (
	"encoding/json"
	"time"
)

// Kind says how a try ended, as far as this side can truly know.
type Kind string

// The ways in which a try ends.
const (
	// KindOK means that the reply is whole and belongs to the request.
	KindOK Kind = "ok"
	// KindVersionGone means that the replica no longer holds the pinned version.
	KindVersionGone Kind = "version_gone"
	// KindShed means that the replica was too busy and says that it did not run the request.
	KindShed Kind = "shed"
	// KindDraining means that the replica is leaving and says that it did not run the request.
	KindDraining Kind = "draining"
	// KindRefused means that the replica refused the request for another reason and says that it did not run it.
	KindRefused Kind = "refused"
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindSilent means that the connection fell silent while others to the replica progressed; the request may have
	// run.
	KindSilent Kind = "silent"
	// KindCanceled means that this side gave up waiting; the request may have run.
	KindCanceled Kind = "canceled"
	// KindBroken means that the connection broke after bytes were sent; the request may have run.
	KindBroken Kind = "broken"
	// KindForeign means that the reply belongs to another request, shard or version and was discarded.
	KindForeign Kind = "foreign"
	// KindError means that the replica answered with another error; the request may have run.
	KindError Kind = "error"
)

// NotRun reports whether the kind proves that the request did not run.
func (k Kind) NotRun() bool {
	return k == KindShed || k == KindDraining || k == KindRefused || k == KindNotSent
}

// Result is the outcome of one try, a value rather than an error since callers decide on each kind.
type Result struct {
	Kind Kind
	// Detail explains every kind but KindOK, for logs and explanations.
	Detail string
	// Query is set where a query ended in KindOK.
	Query QueryReply
	// Write is set where a write ended in KindOK.
	Write json.RawMessage
	// Took is the time from sending to the end.
	Took time.Duration
	// Holdings is the raw HeaderVersions of the reply, empty where there was none.
	Holdings string
	// Draining is set where the reply said that the replica is leaving.
	Draining bool
	// Claimed is the raw HeaderLoad of the reply.
	Claimed string
}
