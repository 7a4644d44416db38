package source

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/rejectlog"
	"guavaspring.org/entry/internal/relay"
)

const (
	// listTimeoutRatio limits the time of a list as a fraction of the bound, maxListTimeout absolutely. The store replies
	// in milliseconds, in a third of a second when it is slow. After it has hung, it never replies to the calls from
	// before: the hanging list and the backoff after it are the delay that a recovery may cost, and leave a third of the
	// bound.
	listTimeoutRatio = 0.4
	maxListTimeout   = 2 * time.Second
	// watchMargin is the time that a watch may take beyond its wait; without a reply by then its connection is taken for
	// dead.
	watchMargin = 700 * time.Millisecond
	// watchWaitRatio is the fraction of the bound that one watch waits. staleRatio is the fraction after which a host
	// without fresh replies of other hosts asks the store itself; the rest is for one list.
	watchWaitRatio = 0.55
	staleRatio     = 0.75
	// relistRatio is the fraction of the bound that a watching host has, after it detects a lost watch, to list all
	// objects before the copies of the other hosts are stale.
	relistRatio = 0.1
	// confirmDelay is the time until the end of a watch has confirmed the copies of all hosts, also of one that was paused
	// meanwhile.
	confirmDelay = 400 * time.Millisecond
	// askMargin is how much earlier than the timeout of this host a parent replies.
	askMargin = 150 * time.Millisecond
	// minBackoff is the first backoff after a failed call, maxWatcherBackoff the longest backoff of the two hosts that
	// watch. Each call is paid for, but theirs are few whatever the number of hosts, and until they reach the store again
	// all other hosts keep calling it themselves.
	minBackoff        = 100 * time.Millisecond
	maxWatcherBackoff = 250 * time.Millisecond
	// maxBackoff is the longest backoff of the other hosts. The watching hosts notify them when the store recovers: their
	// own calls are for the case that the watching hosts are cut off, and would all arrive at once at the end of an
	// outage.
	maxBackoff = 2 * time.Second
	// maxEmptyBackoff is the longest backoff while the copy is empty: every request is refused meanwhile.
	maxEmptyBackoff = 250 * time.Millisecond
	// settlePollInterval is the interval at which a starting host checks whether its member list is complete.
	settlePollInterval = 50 * time.Millisecond
	// staleAskTimeout is the timeout of a request to another host while the copy of this host is stale.
	staleAskTimeout = 500 * time.Millisecond
	// upToDateBackoff is the backoff of a host that the store rejects while other hosts keep it up to date.
	upToDateBackoff = 3 * time.Second
	// recoveryWindow is the time after an outage in which objects may be missing because of the outage.
	recoveryWindow = time.Second
)

// fromStore is the name of the store in logs, where other hosts are named by their address.
const fromStore = "store"

// Parent is a host that this host asks for changes.
type Parent[T any] struct {
	// Name identifies the host in logs.
	Name string
	// Ask returns the changes after a revision as soon as there are any, or none at the end of the wait.
	Ask func(ctx context.Context, args relay.Args) (relay.Reply[T], error)
}

// Options configures a Follower.
type Options[T any] struct {
	Clock clock.Clock
	Log   logr.Logger
	// Name is the name of the kind of objects in logs.
	Name  string
	List  func(ctx context.Context) (feed.Batch[T], error)
	Watch func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[T], error)
	// First returns the seed hosts, which are asked before the first call to the store; it may be nil.
	First func() []Parent[T]
	// Wanted is closed when a client request waits for data, so that the store is called at once; nil means never.
	Wanted <-chan struct{}
	// Settled reports whether the member list of this host is complete enough to decide whether this host has to watch the
	// store; nil means always.
	Settled func() bool
	// Parents returns the hosts to ask for changes, and whether this host watches the store itself.
	Parents func() (parents []Parent[T], watches bool)
	// Others returns a few other hosts, chosen anew with each call; nil means that there are none.
	Others func() []Parent[T]
	// Copy holds the objects and serves them to other hosts.
	Copy *relay.Copy[T]
	// Replace applies a list of all objects, Change only those that changed; returned reports that the store recovered
	// from an outage a moment ago.
	Replace, Change func(batch feed.Batch[T], returned bool)
	// Reconnect closes the unused connections to the store.
	Reconnect func()
	// Outage is shared by the followers of one host; nil means a separate one.
	Outage *StoreState
	// Rejected is called with the number of unreadable objects found, each counted once; it may be nil.
	Rejected func(n int)
	// Older is called for each reply that is older than the copy; it may be nil.
	Older func()
	// Bound is the time within which a change must be applied here. A watch may miss changes while the store drops its
	// history, and reports that only at its end: its wait has to be well below the bound.
	Bound time.Duration
}

// Follower keeps the copy of one kind of objects on this host up to date.
type Follower[T any] struct {
	opts Options[T]
	// watchable reports that changes after the revision of the copy can be watched.
	watchable bool
	// down reports that the last call to the store failed, recoveredAt is the time of the first success after an outage.
	down        bool
	recoveredAt time.Time
	backoff     time.Duration
	// recoveries is the number of recoveries of the store before the last call to it.
	recoveries int
	// lastCall is the time of the last call to the store.
	lastCall time.Time
	// coalesceDelay is the delay after the last watch that returned changes.
	coalesceDelay time.Duration
	// nextParent is the index of the parent to ask next, failedAsks the number of requests in a row that confirmed
	// nothing.
	nextParent, failedAsks int
	// parentChecksum is the checksum of the entries that the last parent asked retains from earlier eras.
	parentChecksum retainedChecksum
	// retainedFetches is the number of rounds left in which other hosts are asked for those.
	retainedFetches int
	// eraMissing reports that the last reply of the store had no era.
	eraMissing bool
	// lastOlder reports that the last reply was older than the copy, olderBackoff is the backoff after such a reply of the
	// store.
	lastOlder    bool
	olderBackoff time.Duration
	rejects      *rejectlog.Log
}

// New returns a follower that is started by Run.
func New[T any](opts Options[T]) *Follower[T] {
	if opts.Settled == nil {
		opts.Settled = func() bool { return true }
	}
	if opts.Outage == nil {
		opts.Outage = NewOutage()
	}
	if opts.Rejected == nil {
		opts.Rejected = func(int) {}
	}
	if opts.Older == nil {
		opts.Older = func() {}
	}
	if opts.Others == nil {
		opts.Others = func() []Parent[T] { return nil }
	}
	return &Follower[T]{opts: opts, rejects: rejectlog.New(opts.Log, opts.Name, opts.Rejected)}
}

// Run keeps the copy up to date until ctx ends. Most hosts ask a parent. A host whose copy is stale asks the store
// itself, and the few that watch the store ask each other while it rejects them.
func (f *Follower[T]) Run(ctx context.Context) {
	f.askSeeds(ctx)
	for ctx.Err() == nil {
		if !f.opts.Settled() && !f.stale() {
			// The member list of a starting host has only itself: it would watch the store as if it were the only host.
			clock.Sleep(ctx, f.opts.Clock, settlePollInterval)
			continue
		}
		f.step(ctx)
	}
}

// step asks a parent, waits, or calls the store.
func (f *Follower[T]) step(ctx context.Context) {
	parents, watches := f.opts.Parents()
	failed, _ := f.opts.Outage.failedAt()
	recovered := f.opts.Outage.Recovered()
	backoff := f.remainingBackoff(watches)
	switch {
	case backoff > 0:
		f.untilRecovered(ctx, recovered, func(ctx context.Context) {
			switch {
			case len(parents) == 0, watches && backoff <= askMargin:
				clock.Sleep(ctx, f.opts.Clock, backoff)
			case watches && f.stale():
				// The store may reject the other watching host as well.
				f.askParent(ctx, append(f.opts.Others(), parents...), backoff)
			case watches:
				f.askParent(ctx, parents, backoff)
			default:
				f.askParent(ctx, parents, f.opts.Bound)
			}
		})
	case len(parents) > 0 && f.asksParentFirst(parents, watches):
		f.askParent(ctx, parents, f.opts.Bound)
	case !watches && !f.opts.Outage.claimCall(failed, f.opts.Clock.Now()):
		// Another follower of this host is calling the store.
	default:
		f.failedAsks = 0
		f.read(ctx)
	}
}

// untilRecovered runs do during a backoff, and cancels it once another follower of this host reaches the store.
func (f *Follower[T]) untilRecovered(ctx context.Context, recovered <-chan struct{}, do func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	do(ctx)
	select {
	case <-recovered:
		f.lastCall = time.Time{}
	default:
	}
}

// asksParentFirst reports whether a parent is asked before the store while the last call to the store succeeded.
func (f *Follower[T]) asksParentFirst(parents []Parent[T], watches bool) bool {
	return !f.down && !watches && !f.stale() && f.failedAsks < len(parents)
}
