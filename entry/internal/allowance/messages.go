package allowance

import (
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/member"
)

// Request is one request of a customer.
type Request struct {
	// Customer may be nil, which means no limit.
	Customer *route.Customer
	// Deadline is when the client times out.
	Deadline time.Time
	// Again marks a retry by a client that was refused before.
	Again bool
}

// Args is a request for tokens to a customer's keeper or deputy.
type Args struct {
	Customer string
	// From is the ID of the asking host.
	From string
	// Deputy marks a request to a deputy because the keeper can't be reached.
	Deputy bool
	// Again marks a request for a retry by a refused client.
	Again bool
	// Want is the maximum number of tokens to grant.
	Want int
	// Refused is the number of requests that the asking host has refused locally since its last request.
	Refused int
	// Parts is the number of shares that the asking host divides a limit into, and Old reports that it discovered the
	// other hosts long ago.
	Parts int
	Old   bool
	// Serves reports that the asking host is a serving host, so that it has a share of the limit. Free is how long that
	// share still belongs to another host.
	Serves bool
	Free   time.Duration
	// Start marks a request to a host that was listed before a mass start and holds the customer's tokens until the
	// member list is known.
	Start bool
}

// Reply is the reply of a keeper or deputy.
type Reply struct {
	// Granted is the number of tokens.
	Granted int
	// Declined is the reason why the host doesn't decide, empty if it does.
	Declined string
	// Keeper is the customer's keeper in the view of the declining host, if any.
	Keeper member.Host
	// RetryAfter is the time until the refused client should retry if nothing was granted.
	RetryAfter time.Duration
	// Running reports that the host asked with Args.Start serves by the member list already.
	Running bool
	// Absent is the number of listed hosts that the host asked with Args.Start found gone.
	Absent int
}

// Source identifies the state that a decision was based on.
type Source string

// The sources of decisions.
const (
	// SourceUnlimited means that the customer has no limit.
	SourceUnlimited Source = "unlimited"
	// SourceLocalKeeper means that this host is the customer's keeper.
	SourceLocalKeeper Source = "kept"
	// SourcePrefetched means that a token was used that had been granted in advance.
	SourcePrefetched Source = "loan"
	// SourceKeeper means that the keeper decided.
	SourceKeeper Source = "keeper"
	// SourceDeputy means that the keeper could not be reached and a deputy decided.
	SourceDeputy Source = "deputy"
	// SourceRefused means that a recent refusal by another host still applies.
	SourceRefused Source = "refused_before"
	// SourceOwnShare means that no other host could decide, and this host decided by its own share of the limit.
	SourceOwnShare Source = "own_part"
)

// Decision is the result of checking a request against its customer's limit.
type Decision struct {
	Admitted bool
	Source   Source
	// RetryAfter is the time until a client that was not admitted should retry.
	RetryAfter time.Duration
}

// Over reports whether the customer is known to be over its limit. A request may be refused without that, by a host
// that can't reach the keeper.
func (d Decision) Over() bool {
	return !d.Admitted && d.Source != SourceOwnShare && d.Source != SourceDeputy
}
