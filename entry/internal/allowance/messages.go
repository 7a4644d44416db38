package allowance

import (
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/member"
)

// Request is one request of a customer.
type Request struct {
	// Customer may be nil, which has no limit.
	Customer *route.Customer
	// Deadline is when the client gives up.
	Deadline time.Time
	// Again says that its client was refused before and comes back.
	Again bool
}

// Args asks the host that keeps a customer's bucket for tokens.
type Args struct {
	Customer string
	// From is the id of the asking host.
	From string
	// Deputy says that the asking host doesn't reach the keeper, and asks this one in its place.
	Deputy bool
	// Again says that it is for a client that comes back.
	Again bool
	// Want is how many requests may run if all of it is granted.
	Want int
	// Refused counts the requests that the asking host has refused without asking since it asked last.
	Refused int
	// Parts is into how many parts the asking host cuts a limit, and Old says that it has met the others long ago.
	Parts int
	Old   bool
	// Serves says that clients are sent to the asking host, so that it has a part of the limit, and Free how long that
	// still belongs to another host.
	Serves bool
	Free   time.Duration
}

// Reply is what the keeper grants.
type Reply struct {
	Granted int
	// Declined says why the host doesn't decide about the customer, empty where it does.
	Declined string
	// Keeper is the host that decides, where this one knows it.
	Keeper member.Host
	// RetryAfter is when to come back where nothing was granted.
	RetryAfter time.Duration
}

// Source says where the decision about a request was made.
type Source string

// The sources of decisions.
const (
	// SourceUnlimited means that the customer has no limit.
	SourceUnlimited Source = "unlimited"
	// SourceKept means that this host keeps the customer's bucket.
	SourceKept Source = "kept"
	// SourceLoan means that the keeper had granted more than was asked for.
	SourceLoan Source = "loan"
	// SourceKeeper means that the keeper was asked.
	SourceKeeper Source = "keeper"
	// SourceDeputy means that the keeper was out of reach, and the host that ranks second decided.
	SourceDeputy Source = "deputy"
	// SourceRefused means that the keeper had refused a moment ago.
	SourceRefused Source = "refused_before"
	// SourcePart means that nobody could be asked, and this host has only its own part of the limit.
	SourcePart Source = "own_part"
)

// Decision says whether a request is within its customer's limit.
type Decision struct {
	Admitted bool
	Source   Source
	// RetryAfter is when a client that was not admitted should come back.
	RetryAfter time.Duration
}

// Over reports whether the customer is known to be over its limit; where it isn't and the request was not admitted, that
// is not known.
func (d Decision) Over() bool {
	return !d.Admitted && d.Source != SourcePart && d.Source != SourceDeputy
}
