package routeplan

import "time"

// Method is the net/rpc method that replies with a Plan.
const Method = "Explain.Route"

// Args describes the request whose route is explained.
type Args struct {
	// Host is the host name of the request, Path its path, which may be followed by a query.
	Host, Path, Method string
	// Customer is the name of the customer; a key is never sent.
	Customer string
}

// Plan states where a host would send a request, and why.
type Plan struct {
	// Host is the peer address of the host that replies.
	Host, Zone, Region string
	// Leaving is set while the host stops; Serving is set if clients are directed to it.
	Leaving, Serving bool
	// Version is the version of the configuration in force.
	Version int64
	// Balanced is set if the configuration makes hosts spread requests over the replicas by their capacity.
	Balanced bool
	Route    Route
	// Refusals are the reasons for which the host refuses the request whatever the load.
	Refusals []string
	// Allowance is nil if the request belongs to no customer.
	Allowance *Allowance
	// Paths holds one entry for a query over shards, and one per service of a split.
	Paths []Path
	// PathsLeftOut is the number of paths that were cut from the reply.
	PathsLeftOut int
	// Unknown lists what the host can't know without asking others.
	Unknown []string
}

// Route is the matching route of the configuration.
type Route struct {
	Name, Host, Prefix string
	Idempotent, Public bool
	Timeout, Objective time.Duration
	Attempts, Priority int
	// Shards is the number of shards, zero for a split; Least is the number of them that have to answer.
	Shards, Least int
	// Homes are the only regions in which the request may run, from the route and the customer; none means any.
	Homes []string
}

// Path is one way that the request may take: all shards, or one service of a split.
type Path struct {
	// Weight is the part of the requests, 0 to 1, that takes this path.
	Weight    float64
	Admission Admission
	// Usual is the expected time of a healthy replica, Hedge the delay before a second attempt.
	Usual, Hedge time.Duration
	Services     []Service
	// ServicesLeftOut is the number of services that were cut from the reply.
	ServicesLeftOut int
	Groups          []Group
}

// Admission holds the figures of the overload decision.
type Admission struct {
	// Unservable is set if too few services have a replica that may be used.
	Unservable bool
	// Wait is the expected wait for the delayed shards, Bound the time that it is compared to.
	Wait, Bound time.Duration
	// New is the probability of a refusal for a new client, Returning that for one that comes back after a refusal and
	// has waited for ReturningWaited.
	New, Returning  float64
	ReturningWaited time.Duration
}

// Group is a part of a query whose first attempts are sent by a host in another zone.
type Group struct {
	Zone string
	// Hosts are the peer addresses of the hosts of which one is drawn; empty if none is available, so that this host
	// sends the attempts itself.
	Hosts []string
	// Services are the names of the group's shards.
	Services []string
}

// Verdict is the outcome of the choice of a replica.
type Verdict string

// The verdicts of a choice.
const (
	// Sent means that the attempt is sent to a replica.
	Sent Verdict = "sent"
	// Waits means that the attempt waits until a replica has room.
	Waits Verdict = "waits"
	// None means that no replica may be used.
	None Verdict = "none"
)

// Rule is the rule by which a replica is chosen.
type Rule string

// The rules of a choice.
const (
	// RuleOnly chooses the only replica that takes the request.
	RuleOnly Rule = "the only one that takes the request"
	// RuleNear chooses a replica in the host's own zone that is fast enough.
	RuleNear Rule = "own zone, fast enough"
	// RuleLowest chooses the lowest estimate.
	RuleLowest Rule = "lowest estimate"
	// RuleDrawn chooses at random among replicas with similar estimates.
	RuleDrawn Rule = "drawn among similar estimates"
	// RuleTurn chooses the replica whose turn it is among those that are as good as the best one.
	RuleTurn Rule = "its turn"
	// RuleWidened chooses a replica outside the host's subset, whose replicas are slow, full or gone.
	RuleWidened Rule = "subset slow, full or gone"
	// RuleBackoff chooses a replica in backoff, since no other is left.
	RuleBackoff Rule = "in backoff, no other is left"
)

// Reason is the reason for which a replica is passed over.
type Reason string

// The reasons for passing over a replica.
const (
	Draining      Reason = "draining"
	Evacuated     Reason = "evacuated zone"
	Gone          Reason = "gone"
	AddressTaken  Reason = "another replica has its address"
	OutsideHomes  Reason = "outside the home regions"
	OutsideSubset Reason = "outside the host's subset"
	LimitReached  Reason = "limit reached"
	NoConnection  Reason = "no free connection"
	ColdLimit     Reason = "cold limit"
	InBackoff     Reason = "in backoff"
	OtherZone     Reason = "other zone"
	Slower        Reason = "slower"
	TooSlow       Reason = "too slow to be of use"
	DrawnLess     Reason = "drawn less often"
	LaterTurn     Reason = "later turn"
	// Full is given where no other reason explains that the replica takes no request now.
	Full Reason = "full"
)

// Service is one shard, or the service of a split, with the choice of its replica.
type Service struct {
	Name    string
	Verdict Verdict
	// Chosen is the ID of the replica that is chosen most often, Rule the rule by which it is.
	Chosen string
	Rule   Rule
	// Balanced is set if replicas that are as good as the best one take turns.
	Balanced bool
	// Waiting is the number of attempts that wait at the host, Wait the expected wait of one more.
	Waiting int
	Wait    time.Duration
	// Utilization is the number of requests per slot of the replicas, as estimated by the host.
	Utilization float64
	// Retries and Hedges are the numbers of extra attempts left in the host's budget, up to MaxBudget.
	Retries, Hedges int
	Candidates      []Candidate
	// CandidatesLeftOut is the number of candidates that were cut from the reply.
	CandidatesLeftOut int
}

// Candidate is a replica of a service as the host sees it.
type Candidate struct {
	ID, Zone string
	// Estimate is the expected time of a request there, without the random part.
	Estimate time.Duration
	// Slowness is its reply time as a multiple of the usual one, Failures the share of recent attempts that failed.
	Slowness, Failures float64
	// Measured is set if a request of the host has ended there; Age is the age of the measurements then.
	Measured bool
	Age      time.Duration
	// Running is the number of requests of this host in flight there, Limit their limit, Oldest the age of the oldest.
	Running, Limit int
	Oldest         time.Duration
	Cold           bool
	// Turn is its turn; of the replicas that are as good as the best one, the lowest goes first.
	Turn float64
	// Backoff is the time left of its backoff.
	Backoff time.Duration
	// Share is the part of repeated draws, 0 to 1, in which it was chosen.
	Share float64
	// Reason is empty for the chosen replica.
	Reason Reason
}

// Allowance is what the host knows of a customer's rate limit.
type Allowance struct {
	Customer string
	// Limited is whether the customer has a limit, PerSecond and Burst are the limit on all hosts together.
	Limited          bool
	PerSecond, Burst float64
	// Keeper is the peer address of the host that keeps the count, Deputies those of the hosts in its place.
	Keeper   string
	Deputies []string
	// Kept is set if this host keeps the count.
	Kept bool
	// KeeperBackoff is the time for which the keeper is not asked, since it failed or declined.
	KeeperBackoff time.Duration
	// RefusedFor is the time for which the last refusal by another host applies, zero if none does.
	RefusedFor time.Duration
	// Advance is the number of unused tokens that the keeper granted in advance.
	Advance int
	// Shares is the number of shares that the limit is divided into.
	Shares int
	// New is what would be decided for a new client, Returning for one that comes back after a refusal.
	New, Returning Decision
	// Alone is what this host would decide if it reached no other host. It is nil if it decides by itself anyway.
	Alone *Decision
}

// Decision is what a host would decide on a customer's allowance.
type Decision struct {
	// Asks is the peer address of the host that would be asked; the other fields are empty then.
	Asks       string
	Admitted   bool
	Source     string
	RetryAfter time.Duration
}

// MaxBudget is the largest number of extra attempts that a Service states; MaxBudget means at least as many.
const MaxBudget = 100

// Bounds of a Plan. A query over 90 shards of 45 replicas is replied whole.
const (
	// MaxPaths is the maximum number of paths.
	MaxPaths = 32
	// MaxServices is the maximum number of services of all paths together.
	MaxServices = 128
	// MaxCandidates is the maximum number of candidates of all services together.
	MaxCandidates = 4096
	// MaxPerService is the maximum number of candidates of one service.
	MaxPerService = 64
	// MaxNames is the maximum length of a list of names.
	MaxNames = 128
	// MaxText is the maximum length of a name or text in bytes.
	MaxText = 128
)

// Plain reports whether the choice needs no attention: a replica is chosen by its estimate, zone or turn, and the others are
// passed over for the same reasons alone.
func (s *Service) Plain() bool {
	if s.Verdict != Sent || s.Waiting > 0 || s.Retries == 0 || s.Rule == RuleBackoff || s.Rule == RuleWidened || s.CandidatesLeftOut > 0 {
		return false
	}
	for i := range s.Candidates {
		switch s.Candidates[i].Reason {
		case "", Slower, OtherZone, DrawnLess, LaterTurn, OutsideSubset:
		default:
			return false
		}
	}
	return true
}
