package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/member"
)

// Options configures a Follower.
type Options struct {
	Clock    clock.Clock
	Log      logr.Logger
	Platform *platform.Client
	// Get and Put read and conditionally write one object; New takes those of Platform where they are nil.
	Get   func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put   func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	Store *accepted.Store
	// Watch waits for changed objects; New takes that of Platform where it is nil.
	Watch func(ctx context.Context, kind platform.Kind, after int64, wait time.Duration) ([]platform.Object, int64, error)
	// ReadReplicas reads the platform's replica list; New takes that of Platform where it is nil.
	ReadReplicas func(ctx context.Context) ([]platform.Replica, error)
	// Listing holds the replica list as the hosts share it; New makes one where it is nil.
	Listing *listing.Table
	// ReplicasRead receives the rows that a reading of this host changed, for the other hosts; it may be nil.
	ReplicasRead func(rows []listing.Row)
	// Replicas receives the replica list when it changed, and again now and then.
	Replicas func(ctx context.Context, list []platform.Replica)
	// Era returns the era of the platform's objects, which rises when the platform comes back from an older copy of them;
	// New takes that of Platform where it is nil, if there is one.
	Era func() int64
	// Self and Hosts return this host's row and every host that is not dead.
	Self  func() member.Host
	Hosts func() []member.Host
	// AskReplicas returns the replica list that another host read last, for a host that starts during an outage.
	AskReplicas func(ctx context.Context) ([]platform.Replica, error)
}

// Follower watches the platform for documents, acceptances and replicas.
type Follower struct {
	opts Options

	mu        sync.Mutex
	down      bool
	proposals map[string]*proposal
	// lost are the generations in force whose acceptance the platform has lost, and era the one of the last watch.
	lost     map[string]*proposal
	era      int64
	refusals map[string]Refusal
	// asked is a list taken over from another host, in use until the table has rows.
	asked []platform.Replica

	// ranked holds the watchers of the member list that begins at rankedFor.
	ranking   sync.Mutex
	ranked    []member.Host
	rankedFor *member.Host
}

// proposal is the highest version of a document that was seen, until it is judged.
type proposal struct {
	obj     platform.Object
	seen    time.Time
	retry   time.Time
	settled bool
}

// New returns a follower that does nothing until its duties are run.
func New(opts Options) *Follower {
	if opts.Get == nil {
		opts.Get = opts.Platform.Get
	}
	if opts.Watch == nil {
		opts.Watch = opts.Platform.Watch
	}
	if opts.ReadReplicas == nil {
		opts.ReadReplicas = opts.Platform.Replicas
	}
	if opts.Put == nil {
		opts.Put = opts.Platform.Put
	}
	if opts.Listing == nil {
		opts.Listing = listing.New(opts.Clock)
	}
	if opts.Era == nil {
		opts.Era = func() int64 { return 0 }
		if opts.Platform != nil {
			opts.Era = opts.Platform.Era
		}
	}
	if opts.ReplicasRead == nil {
		opts.ReplicasRead = func([]listing.Row) {}
	}
	return &Follower{opts: opts, proposals: map[string]*proposal{}, lost: map[string]*proposal{}, refusals: map[string]Refusal{}}
}

const (
	watchWait    = 30 * time.Second
	callTimeout  = 2 * time.Second
	watchTimeout = watchWait + 5*time.Second
	retryAfter   = 500 * time.Millisecond
	// meetFor is how long a host that starts meets the others before it watches.
	meetFor = 500 * time.Millisecond
	// watchRetry keeps the calls of all watchers during an outage to two a second for each.
	watchRetry = time.Second
	judgeEvery = 100 * time.Millisecond
	readEvery  = 5 * time.Second
)

// ReadAccepted reads every acceptance once, so that a host that starts doesn't depend on one peer that lags.
func (f *Follower) ReadAccepted(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		objs, _, err := f.opts.Platform.List(callCtx, platform.KindAccepted)
		cancel()
		f.note(ctx, err)
		if err == nil {
			f.offer(objs)
			return
		}
		clock.Sleep(ctx, f.opts.Clock, readEvery)
	}
}

// WatchAccepted puts in force what any host accepted, while this host is one of its zone's watchers.
func (f *Follower) WatchAccepted(ctx context.Context) {
	f.watch(ctx, platform.KindAccepted, f.takeAccepted)
}

// WatchDocuments takes up proposals, while this host is one of its zone's watchers.
func (f *Follower) WatchDocuments(ctx context.Context) {
	f.watch(ctx, platform.KindDocument, f.propose)
}

func (f *Follower) watch(ctx context.Context, kind platform.Kind, take func([]platform.Object)) {
	after := int64(0)
	// Before it has met the others each host takes itself for the first of its zone, and a fleet that starts at once
	// would watch as a whole.
	clock.Sleep(ctx, f.opts.Clock, meetFor)
	for ctx.Err() == nil {
		if !f.Watches() {
			// Whoever watches again later must not miss what changed meanwhile.
			after = 0
			clock.Sleep(ctx, f.opts.Clock, retryAfter)
			continue
		}
		objs, rev, err := f.watchOnce(ctx, kind, after)
		if err != nil && !f.Watches() {
			continue
		}
		f.note(ctx, err)
		if err != nil {
			clock.Sleep(ctx, f.opts.Clock, watchRetry)
			continue
		}
		after = rev
		take(objs)
	}
}

// watchOnce waits for one change, or until this host is no watcher any more: a waiting watch counts as a call.
func (f *Follower) watchOnce(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var check sync.WaitGroup
	check.Go(func() {
		for ctx.Err() == nil && f.Watches() {
			clock.Sleep(ctx, f.opts.Clock, retryAfter)
		}
		cancel()
	})
	objs, rev, err := f.opts.Watch(ctx, kind, after, watchWait)
	cancel()
	check.Wait()
	return objs, rev, err
}

// takeAccepted takes over what a watch of the acceptances brought. The first of a new era brings all there are: what is
// in force and not among them was lost with the platform's older copy, and is recorded again.
func (f *Follower) takeAccepted(objs []platform.Object) {
	f.offer(objs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if era := f.opts.Era(); era != f.era {
		f.era = era
		f.noteLost(objs)
	}
}

// noteLost notes the generations in force that are higher than what the platform holds; f.mu must be held.
func (f *Follower) noteLost(objs []platform.Object) {
	held := map[string]int64{}
	for _, obj := range objs {
		if gen, err := accepted.Decode(obj.Body); err == nil {
			held[gen.Service] = gen.Number
		}
	}
	for _, gen := range f.opts.Store.All() {
		if gen.Number > held[gen.Service] {
			f.lost[gen.Service] = &proposal{obj: platform.Object{Name: gen.Service, Version: gen.Number}, seen: f.opts.Clock.Now()}
		}
	}
}

// recordLost records again what the platform has lost.
func (f *Follower) recordLost(ctx context.Context) {
	for _, p := range f.due(f.lost) {
		gen, ok := f.opts.Store.Get(p.obj.Name)
		if !ok {
			continue
		}
		err := f.record(ctx, p.obj, gen)
		if err != nil {
			f.note(ctx, err)
		}
		f.settle(p, err)
	}
}

func (f *Follower) offer(objs []platform.Object) {
	for _, obj := range objs {
		gen, err := accepted.Decode(obj.Body)
		if err != nil {
			events.ConfigUnreadable.Log(f.opts.Log, "service", obj.Name, "reason", err.Error())
			continue
		}
		f.opts.Store.Offer(gen)
	}
}

// propose keeps the highest version of each document; a lagging read may bring an older one.
func (f *Follower) propose(objs []platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, obj := range objs {
		if old := f.proposals[obj.Name]; old == nil || old.obj.Version < obj.Version {
			f.proposals[obj.Name] = &proposal{obj: obj, seen: f.opts.Clock.Now()}
		}
	}
}

// Judge judges proposals until ctx ends. One that could not be recorded stays and is judged again: the watch that
// brought it has moved on and won't bring it a second time.
func (f *Follower) Judge(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range f.due(f.proposals) {
			err := f.judge(ctx, p.obj)
			if err != nil {
				f.note(ctx, err)
			}
			f.settle(p, err)
		}
		f.recordLost(ctx)
		clock.Sleep(ctx, f.opts.Clock, judgeEvery)
	}
}

// settle notes how a proposal was judged; one that met an error is judged again.
func (f *Follower) settle(p *proposal, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.settled, p.retry = err == nil, f.opts.Clock.Now().Add(retryAfter)
}

// due returns those of some proposals whose time has come.
func (f *Follower) due(proposals map[string]*proposal) []*proposal {
	now := f.opts.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*proposal
	for name, p := range proposals {
		if !p.settled && !now.Before(p.seen.Add(f.turn(name))) && !now.Before(p.retry) {
			list = append(list, p)
		}
	}
	return list
}

// Proposed returns the highest version of the service's document that this host saw, and why it was refused, if it was.
func (f *Follower) Proposed(service string) (number int64, refused Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.proposals[service]; p != nil {
		number = p.obj.Version
	}
	if r := f.refusals[service]; r.Number == number {
		refused = r
	}
	return number, refused
}

// Services returns the name of every service that was proposed here.
func (f *Follower) Services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.proposals))
}

func (f *Follower) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The host is stopping, and so its calls end.
		return
	}
	// A conflict or a missing object is an answer; only a platform that gives none is down.
	down := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
	f.mu.Lock()
	was := f.down
	f.down = down
	f.mu.Unlock()
	switch {
	case down && !was:
		events.PlatformDown.Log(f.opts.Log, "error", err.Error())
	case !down && was:
		events.PlatformUp.Log(f.opts.Log)
	}
}

// Down reports whether the last call to the platform failed.
func (f *Follower) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}
