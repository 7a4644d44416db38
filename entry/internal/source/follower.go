package source

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/relay"
)

const (
	// listPart bounds a list, as a part of the bound, and mostList in time. The store answers in milliseconds, and in a
	// third of a second when it is slow. One that was silent never answers what it was asked before: the list that
	// hangs and the rest after it are what its return may cost, and leave a third of the bound.
	listPart = 0.4
	mostList = 2 * time.Second
	// watchMargin is how long after its wait a watch may still answer; one that says nothing then sits on a silent
	// connection.
	watchMargin = 700 * time.Millisecond
	// waitPart is the part of the bound that one watch waits, and stalePart the part after which a host that hears
	// nothing from others asks the store itself; the rest is for one list.
	waitPart  = 0.55
	stalePart = 0.75
	// leadPart is the part of the bound that is left to a host that watches, from the moment it knows that a watch was
	// lost, to read all again before the others find what they know too old.
	leadPart = 0.1
	// confirmIn is how long the end of a watch takes to be known on all hosts, on one that has slept through it too.
	confirmIn = 400 * time.Millisecond
	// askMargin is how much sooner a parent answers than this host gives up on it.
	askMargin = 150 * time.Millisecond
	// firstPause and watchPause bound the wait after a call that failed, the second that of the two hosts that watch.
	// Each call is paid for, though theirs are few whatever the number of hosts, and until they find the store again
	// all others go on to call it by themselves.
	firstPause = 100 * time.Millisecond
	watchPause = 250 * time.Millisecond
	// hearPause is the longest wait of a host that the watching hosts tell when the store is back: its own calls are
	// for the case that those are cut off, and would all come at once at the end of an outage.
	hearPause = 2 * time.Second
	// blindPause is the longest wait after a call that failed while nothing is known: every request is refused
	// meanwhile.
	blindPause = 250 * time.Millisecond
	// settleStep is how often a host that has just started looks whether it knows the others.
	settleStep = 50 * time.Millisecond
	// staleAsk bounds the wait for a host that is asked by one that knows nothing fresh.
	staleAsk = 500 * time.Millisecond
	// tryAgain is how soon a host that was turned away by the store tries it again while others keep it up to date.
	tryAgain = 3 * time.Second
	// returnedFor is how long after an outage what vanishes may be the outage's doing.
	returnedFor = time.Second
)

// fromStore names the store in logs, where another host is named by its address.
const fromStore = "store"

// Parent is a host from which this one hears.
type Parent[T any] struct {
	// Name identifies the host in logs.
	Name string
	// Ask returns what is newer than a revision, or that nothing is, within the wait.
	Ask func(ctx context.Context, args relay.Args) (relay.Reply[T], error)
}

// Options configures a Follower.
type Options[T any] struct {
	Clock clock.Clock
	Log   logr.Logger
	// Name is the kind's name in logs.
	Name  string
	List  func(ctx context.Context) (feed.Batch[T], error)
	Watch func(ctx context.Context, since int64, wait time.Duration) (feed.Batch[T], error)
	// First returns the hosts that are asked before the first call to the store; it may be nil.
	First func() []Parent[T]
	// Wanted is closed once a client waits for what is not known yet, so that the store is called without further
	// delay; nil means never.
	Wanted <-chan struct{}
	// Settled reports whether this host knows the others well enough to know whether it has to watch the store; nil
	// means always.
	Settled func() bool
	// Parents returns the hosts to hear from, and whether this host watches the store itself.
	Parents func() (parents []Parent[T], watches bool)
	// Others returns a few other hosts, never the same for long; nil means that there are none.
	Others func() []Parent[T]
	// Copy takes what was read, for the other hosts.
	Copy *relay.Copy[T]
	// Replace takes a list of all objects, Change those that changed; returned says that the store was away until a
	// moment ago.
	Replace, Change func(batch feed.Batch[T], returned bool)
	// Reconnect drops the unused connections to the store.
	Reconnect func()
	// Outage is shared by the followers of one host; nil means one of its own.
	Outage *Outage
	// Rejected is told how many objects were found that can't be read, each once; it may be nil.
	Rejected func(n int)
	// Older is called with each answer that is older than what is known; it may be nil.
	Older func()
	// Bound is how soon a change has to be known here. A watch may hear nothing while its history is being dropped, and
	// tells so only at its end: its wait has to be well under the bound.
	Bound time.Duration
}

// Follower keeps this host in step with one kind of object.
type Follower[T any] struct {
	opts Options[T]
	// listed says that changes since the copy's revision can be watched.
	listed bool
	// down says that the last call to the store failed, back when calls succeeded again.
	down  bool
	back  time.Time
	pause time.Duration
	// returns is how often the store had come back before it was last called.
	returns int
	// tried is when the store was last called.
	tried time.Time
	// collect is how long the last watch that brought changes was followed by a pause.
	collect time.Duration
	// next is which parent is asked next, and failed how many in a row brought nothing.
	next, failed int
	// received is the checksum of what the host that was asked last keeps from earlier eras of the store.
	received keptSum
	// consults is how many more times other hosts are asked for that.
	consults int
	// unsaid says that the store's last answer didn't bear its era.
	unsaid bool
	// older says that the last answer was older than what is known, and olderPause is the wait after one of the store.
	older      bool
	olderPause time.Duration
	rejects    *rejects
}

// New returns a follower that does nothing until Run.
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
	return &Follower[T]{opts: opts, rejects: newRejects(opts.Log, opts.Name, opts.Rejected)}
}

// Run follows until ctx ends. Most hosts hear from another; one that hears nothing fresh asks the store itself, and the
// few that watch it hear from each other while the store turns them away.
func (f *Follower[T]) Run(ctx context.Context) {
	f.first(ctx)
	for ctx.Err() == nil {
		if !f.opts.Settled() && !f.stale() {
			// A host that has just started knows only itself, and would watch the store as if it were the only one.
			clock.Sleep(ctx, f.opts.Clock, settleStep)
			continue
		}
		f.step(ctx)
	}
}

// step hears from another host, waits, or calls the store.
func (f *Follower[T]) step(ctx context.Context) {
	parents, watches := f.opts.Parents()
	failed, _ := f.opts.Outage.failedAt()
	back := f.opts.Outage.Back()
	rest := f.rest(watches)
	switch {
	case rest > 0:
		f.untilBack(ctx, back, func(ctx context.Context) {
			switch {
			case len(parents) == 0, watches && rest <= askMargin:
				clock.Sleep(ctx, f.opts.Clock, rest)
			case watches && f.stale():
				// The other one that watches may be turned away as well.
				f.hear(ctx, append(f.opts.Others(), parents...), rest)
			case watches:
				f.hear(ctx, parents, rest)
			default:
				f.hear(ctx, parents, f.opts.Bound)
			}
		})
	case len(parents) > 0 && f.hearsFirst(parents, watches):
		f.hear(ctx, parents, f.opts.Bound)
	case !watches && !f.opts.Outage.claim(failed, f.opts.Clock.Now()):
		// Another follower of this host is calling the store.
	default:
		f.failed = 0
		f.read(ctx)
	}
}

// untilBack does something while the store is left alone, and ends that once another follower of this host has reached
// it.
func (f *Follower[T]) untilBack(ctx context.Context, back <-chan struct{}, do func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-back:
			cancel()
		case <-ctx.Done():
		}
	}()
	do(ctx)
	select {
	case <-back:
		f.tried = time.Time{}
	default:
	}
}

// hearsFirst reports whether another host is asked before the store, which is not known to be away.
func (f *Follower[T]) hearsFirst(parents []Parent[T], watches bool) bool {
	return !f.down && !watches && !f.stale() && f.failed < len(parents)
}
