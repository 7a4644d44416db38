package source

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/entry/internal/events"
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
	// told is what the hosts that were asked said last of what they keep from earlier eras of the store.
	told told
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

// rest returns how long the store is left alone after a call that failed. Other hosts are asked meanwhile.
//
// The store may turn away some hosts and serve the others. A host that starts meanwhile would refuse every request for
// as long, though its neighbours know all that it lacks. Where it is away for all, the first host that reaches it again
// has all others know within one call.
func (f *Follower[T]) rest(watches bool) time.Duration {
	if f.opts.Outage.count() != f.returns && f.olderPause == 0 {
		// Another follower has reached it since.
		return 0
	}
	down, tried, pause := f.down || f.olderPause > 0, f.tried, max(f.pause, f.olderPause)
	if at, away := f.opts.Outage.failedAt(); away && !watches && at.After(tried) {
		down, tried, pause = true, at, hearPause
	}
	if !down {
		return 0
	}
	pause = min(pause, f.longest(watches))
	switch left := f.left(); {
	case left <= 0:
	case watches:
		// The others wait for this host, and would all call the store at the moment at which it did.
		pause = min(tryAgain, max(pause, left-part(leadPart, f.opts.Bound)))
	default:
		pause = tryAgain
	}
	return pause - f.opts.Clock.Now().Sub(tried)
}

// stale reports whether this host has to ask the store itself.
func (f *Follower[T]) stale() bool { return f.left() <= 0 }

// left returns how long what is known here is fresh enough.
func (f *Follower[T]) left() time.Duration {
	st, _ := f.opts.Copy.State()
	if st.Confirmed.IsZero() {
		return 0
	}
	return part(stalePart, f.opts.Bound) - f.opts.Clock.Now().Sub(st.Confirmed)
}

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }

// hear asks one parent for what is new, within a time. One that is silent, behind, or without news of the store is
// passed over next time.
func (f *Follower[T]) hear(ctx context.Context, parents []Parent[T], within time.Duration) {
	parent := parents[f.next%len(parents)]
	before, _ := f.opts.Copy.State()
	left := min(max(f.left(), staleAsk), within)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	wait := max(0, left-askMargin)
	began := f.opts.Clock.Now()
	rep, err := parent.Ask(ctx, relay.Args{Since: before.Revision, Era: before.Era, Kept: f.told.by(parent.Name), Wait: wait})
	if err == nil && rep.Age >= 0 && !rep.Batch().Position().Before(before.Position) {
		f.heard(parent.Name, rep, began)
	}
	after, _ := f.opts.Copy.State()
	switch {
	case err == nil && after.Confirmed.After(before.Confirmed):
		f.failed = 0
		return
	case err == nil && rep.Age >= 0 && f.opts.Clock.Now().Sub(began) < wait:
		// It answered before its time was over, with what this host had read itself meanwhile.
		return
	}
	f.next++
	f.failed++
	if err != nil && ctx.Err() == nil {
		events.ParentLost.Log(f.opts.Log, "kind", f.opts.Name, "host", parent.Name, "reason", err.Error())
		if f.down {
			// It failed at once, and the store rests: without a wait the parents would be called without end.
			clock.Sleep(ctx, f.opts.Clock, min(wait, firstPause))
		}
	}
}

// heard takes over the reply of a host that was asked at began. Its age counts from the earliest moment at which it may
// have left: hosts that hear from each other would confirm each other otherwise, by the time that messages take.
func (f *Follower[T]) heard(from string, rep relay.Reply[T], began time.Time) {
	at := began.Add(rep.Held - rep.Age)
	f.listed = true
	taken := false
	if rep.Full {
		taken = f.replace(from, rep.Batch(), at, rep.Returned)
	} else {
		taken = f.change(from, rep.Batch(), at, rep.Returned)
	}
	if taken {
		f.mergeKept(from, rep)
	}
}

// replace takes over a list, and reports whether it was new enough.
func (f *Follower[T]) replace(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	if !f.opts.Copy.Replace(batch, at, returned) {
		f.noteOlder(from, batch)
		return false
	}
	restored := f.noteEra(from, before)
	all, _, _ := f.opts.Copy.Since(feed.Position{})
	f.opts.Replace(all, returned || restored)
	return true
}

// change takes over changes, and reports whether they were new enough.
func (f *Follower[T]) change(from string, batch feed.Batch[T], at time.Time, returned bool) bool {
	before, _ := f.opts.Copy.State()
	news, ok := f.opts.Copy.Change(batch, at, returned)
	if !ok {
		f.noteOlder(from, batch)
		return false
	}
	restored := f.noteEra(from, before)
	if len(news.Entries) > 0 {
		f.opts.Change(news, returned || restored)
	}
	return true
}

// noteOlder logs and counts an answer that was refused for its age.
func (f *Follower[T]) noteOlder(from string, batch feed.Batch[T]) {
	f.opts.Older()
	if !f.older {
		st, _ := f.opts.Copy.State()
		events.AnswerOlder.Log(f.opts.Log, "kind", f.opts.Name, "from", from, "revision", batch.Revision, "known", st.Revision, "era", batch.Era, "known_era", st.Era)
	}
	f.older = true
}

// read makes one call to the store: a list where nothing is known or what is known may have a hole, a watch otherwise.
func (f *Follower[T]) read(ctx context.Context) {
	defer func() { f.tried = f.opts.Clock.Now() }()
	f.returns = f.opts.Outage.count()
	if !f.listed || f.stale() {
		f.list(ctx)
		return
	}
	f.consult(ctx)
	f.watch(ctx)
}

func (f *Follower[T]) list(ctx context.Context) {
	began := f.opts.Clock.Now()
	call, cancel := context.WithTimeout(ctx, min(part(listPart, f.opts.Bound), mostList))
	defer cancel()
	batch, err := f.opts.List(call)
	if err != nil {
		f.lost(ctx, err)
		return
	}
	f.listed = true
	f.noteUnsaid(batch.Era)
	returned := f.succeeded()
	if newest, _ := f.opts.Outage.newest(); batch.Era != 0 && batch.Era < newest {
		f.noteOlder(fromStore, batch)
		f.backOff(false)
		return
	}
	f.backOff(f.replace(fromStore, batch, began, returned))
	f.rejects.report(batch.Rejected)
}

func (f *Follower[T]) watch(ctx context.Context) {
	st, _ := f.opts.Copy.State()
	wait := f.watchWait()
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	began := f.opts.Clock.Now()
	batch, err := f.watchInEra(call, st, wait)
	switch {
	case errors.Is(err, errEraOver):
		f.listed = false
	case errors.Is(err, feed.ErrHistoryGone):
		events.HistoryGone.Log(f.opts.Log, "kind", f.opts.Name, "since", st.Revision)
		f.listed = false
	case err == nil && batch.Era > st.Era:
		// The revision that was watched from stands for another moment now.
		f.listed = false
	case err != nil:
		f.listed = false
		f.lost(ctx, err)
	default:
		now := f.opts.Clock.Now()
		f.noteUnsaid(batch.Era)
		f.backOff(f.change(fromStore, batch, now, f.succeeded()))
		f.rejects.report(batch.Rejected)
		f.putOff(ctx, now.Sub(began))
	}
}

// backOff lets the wait after an answer of the store grow while its answers are too old to be taken over. Such a call
// confirms nothing, and would be made again at once.
func (f *Follower[T]) backOff(taken bool) {
	if taken {
		f.olderPause = 0
		return
	}
	f.olderPause = min(max(firstPause, 2*f.olderPause), hearPause)
}

// watchWait returns how long one watch waits: so long that its loss is known in time to read all again. The first one after a start ends sooner: what the hosts below heard is as
// old as the list that was read before, and each would ask the store itself before it hears that nothing has changed.
func (f *Follower[T]) watchWait() time.Duration {
	most := max(part(leadPart, f.opts.Bound), part(stalePart-leadPart, f.opts.Bound)-watchMargin)
	return max(0, min(part(waitPart, f.opts.Bound), most, f.left()-confirmIn))
}

// lost notes an outage, after which the store is left alone for a while.
func (f *Follower[T]) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.down {
		events.PlatformDown.Log(f.opts.Log, "kind", f.opts.Name, "reason", err.Error())
	}
	f.down = true
	f.opts.Outage.lost(f.opts.Clock.Now())
	f.pause = min(max(firstPause, 2*f.pause), hearPause)
	f.opts.Reconnect()
}

// longest returns the longest wait after a call that failed.
func (f *Follower[T]) longest(watches bool) time.Duration {
	st, _ := f.opts.Copy.State()
	switch {
	case st.Confirmed.IsZero():
		return blindPause
	case watches:
		return watchPause
	}
	return hearPause
}

// succeeded notes that the store answered, and reports whether it was away until a moment ago.
func (f *Follower[T]) succeeded() bool {
	now := f.opts.Clock.Now()
	_, away := f.opts.Outage.failedAt()
	if f.down || away {
		f.down, f.pause, f.back = false, 0, now
		f.opts.Outage.over()
		events.PlatformUp.Log(f.opts.Log, "kind", f.opts.Name)
	}
	return !f.back.IsZero() && now.Sub(f.back) < returnedFor
}
