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
	// Get and Put read and conditionally write one object; they default to those of Platform.
	Get   func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put   func(ctx context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error)
	Store *accepted.Store
	// Watch waits for changed objects; it defaults to that of Platform.
	Watch func(ctx context.Context, kind platform.Kind, after int64, wait time.Duration) ([]platform.Object, int64, error)
	// ReadReplicas reads the platform's replica list; it defaults to that of Platform.
	ReadReplicas func(ctx context.Context) ([]platform.Replica, error)
	// Listing holds the replica list that the hosts share; it defaults to an empty one.
	Listing *listing.Table
	// ReplicasRead receives the rows that a read by this host changed, to send them to the other hosts; it may be nil.
	ReplicasRead func(rows []listing.Row)
	// Replicas receives the replica list when it changed, and periodically without a change.
	Replicas func(ctx context.Context, list []platform.Replica)
	// Era returns the restart era of the platform, which rises when its store is restored from a backup. It defaults to
	// that of Platform, or to zero without one.
	Era func() int64
	// Self and Hosts return this host's row and every host that is not dead.
	Self  func() member.Host
	Hosts func() []member.Host
	// AskReplicas returns the latest replica list of another host, for a host that starts during an outage.
	AskReplicas func(ctx context.Context) ([]platform.Replica, error)
}

// Follower watches the platform for documents, accepted generations and replicas.
type Follower struct {
	opts Options

	mu        sync.Mutex
	down      bool
	proposals map[string]*proposal
	// lostGenerations holds the generations in force that a restore of the platform's store removed; era is the restart
	// era of the last watch.
	lostGenerations map[string]*proposal
	era             int64
	refusals        map[string]Refusal
	// copiedReplicas is a replica list of another host, in use until the table has rows.
	copiedReplicas []platform.Replica

	// watchers caches the watchers for the member list whose first element is at watchersOf; watchersMu guards both.
	watchersMu sync.Mutex
	watchers   []member.Host
	watchersOf *member.Host
}

// proposal is the highest version of a document that this host received, or a lost generation to record again.
type proposal struct {
	obj        platform.Object
	receivedAt time.Time
	retryAt    time.Time
	// done is set when the proposal was accepted, refused or found stale, so that it needs no further attempt.
	done bool
}

// New returns a follower that does nothing until ProcessProposals and the Read, Watch and Poll methods are run.
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
	return &Follower{opts: opts, proposals: map[string]*proposal{}, lostGenerations: map[string]*proposal{}, refusals: map[string]Refusal{}}
}

const (
	watchWait     = 30 * time.Second
	callTimeout   = 2 * time.Second
	watchTimeout  = watchWait + 5*time.Second
	retryInterval = 500 * time.Millisecond
	// joinWait is the time for a starting host to receive the member list before it watches.
	joinWait = 500 * time.Millisecond
	// watchRetryInterval limits each watcher to two calls a second during an outage.
	watchRetryInterval = time.Second
	judgeInterval      = 100 * time.Millisecond
	readRetryInterval  = 5 * time.Second
)

// ReadAccepted reads every accepted generation once, so that a starting host doesn't depend on one peer, which may lag.
func (f *Follower) ReadAccepted(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		objs, _, err := f.opts.Platform.List(callCtx, platform.KindAccepted)
		cancel()
		f.updateDown(ctx, err)
		if err == nil {
			f.offerAccepted(objs)
			return
		}
		clock.Sleep(ctx, f.opts.Clock, readRetryInterval)
	}
}

// WatchAccepted puts the accepted generations in force, while this host is one of its zone's watchers.
func (f *Follower) WatchAccepted(ctx context.Context) {
	f.watch(ctx, platform.KindAccepted, f.applyAccepted)
}

// WatchDocuments collects proposals, while this host is one of its zone's watchers.
func (f *Follower) WatchDocuments(ctx context.Context) {
	f.watch(ctx, platform.KindDocument, f.addProposals)
}

func (f *Follower) watch(ctx context.Context, kind platform.Kind, apply func([]platform.Object)) {
	after := int64(0)
	// Until a host has received the member list, it ranks itself as a watcher of its zone, and every host of a fleet
	// that starts at once would watch.
	clock.Sleep(ctx, f.opts.Clock, joinWait)
	for ctx.Err() == nil {
		if !f.IsWatcher() {
			// A later watch must also return the changes of the meantime.
			after = 0
			clock.Sleep(ctx, f.opts.Clock, retryInterval)
			continue
		}
		objs, rev, err := f.watchOnce(ctx, kind, after)
		if err != nil && !f.IsWatcher() {
			continue
		}
		f.updateDown(ctx, err)
		if err != nil {
			clock.Sleep(ctx, f.opts.Clock, watchRetryInterval)
			continue
		}
		after = rev
		apply(objs)
	}
}

// watchOnce waits for one change, or until this host is no longer a watcher, since the platform counts a waiting watch
// as a call.
func (f *Follower) watchOnce(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var check sync.WaitGroup
	check.Go(func() {
		for ctx.Err() == nil && f.IsWatcher() {
			clock.Sleep(ctx, f.opts.Clock, retryInterval)
		}
		cancel()
	})
	objs, rev, err := f.opts.Watch(ctx, kind, after, watchWait)
	cancel()
	check.Wait()
	return objs, rev, err
}

// applyAccepted applies the result of a watch of the accepted generations. The first result of a new era has all of
// them: a generation in force that isn't among them was lost when the platform's store was restored, and is recorded
// again.
func (f *Follower) applyAccepted(objs []platform.Object) {
	f.offerAccepted(objs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if era := f.opts.Era(); era != f.era {
		f.era = era
		f.queueLost(objs)
	}
}

// queueLost queues the generations in force that are higher than those in the platform, to record them again; f.mu must
// be held.
func (f *Follower) queueLost(objs []platform.Object) {
	held := map[string]int64{}
	for _, obj := range objs {
		if gen, err := accepted.FromObject(obj); err == nil {
			held[gen.Service] = gen.Number
		}
	}
	for _, gen := range f.opts.Store.All() {
		if gen.Number > held[gen.Service] {
			f.lostGenerations[gen.Service] = &proposal{obj: platform.Object{Name: gen.Service, Version: gen.Number}, receivedAt: f.opts.Clock.Now()}
		}
	}
}

// recordLost records the generations again that a restore of the platform's store removed.
func (f *Follower) recordLost(ctx context.Context) {
	for _, p := range f.due(f.lostGenerations) {
		gen, ok := f.opts.Store.Get(p.obj.Name)
		if !ok {
			continue
		}
		err := f.record(ctx, p.obj, gen)
		if err != nil {
			f.updateDown(ctx, err)
		}
		f.finishAttempt(p, err)
	}
}

// offerAccepted puts the accepted generations of objs in force, except those that are older than the ones in force.
func (f *Follower) offerAccepted(objs []platform.Object) {
	for _, obj := range objs {
		gen, err := accepted.FromObject(obj)
		if err != nil {
			events.ConfigUnreadable.Log(f.opts.Log, "service", obj.Name, "reason", err.Error())
			continue
		}
		f.opts.Store.Offer(gen)
	}
}

// addProposals stores the highest version of each document; a lagging read may return an older one.
func (f *Follower) addProposals(objs []platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, obj := range objs {
		if old := f.proposals[obj.Name]; old == nil || old.obj.Version < obj.Version {
			f.proposals[obj.Name] = &proposal{obj: obj, receivedAt: f.opts.Clock.Now()}
		}
	}
}

// ProcessProposals validates proposals and records the valid ones until ctx ends. It retries one that could not be
// recorded, since the watch that returned it doesn't return it a second time.
func (f *Follower) ProcessProposals(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range f.due(f.proposals) {
			err := f.judge(ctx, p.obj)
			if err != nil {
				f.updateDown(ctx, err)
			}
			f.finishAttempt(p, err)
		}
		f.recordLost(ctx)
		clock.Sleep(ctx, f.opts.Clock, judgeInterval)
	}
}

// finishAttempt stores the result of an attempt; one that failed is retried after retryInterval.
func (f *Follower) finishAttempt(p *proposal, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.done, p.retryAt = err == nil, f.opts.Clock.Now().Add(retryInterval)
}

// due returns the proposals that this host has to judge or record now.
func (f *Follower) due(proposals map[string]*proposal) []*proposal {
	now := f.opts.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*proposal
	for name, p := range proposals {
		if !p.done && !now.Before(p.receivedAt.Add(f.judgeDelay(name))) && !now.Before(p.retryAt) {
			list = append(list, p)
		}
	}
	return list
}

// Proposed returns the highest version of the service's document that this host received, and its refusal if it was
// refused.
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

// Services returns the name of every service with a proposal on this host.
func (f *Follower) Services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.proposals))
}

// updateDown updates down from the result of a call, and logs a change.
func (f *Follower) updateDown(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The host is stopping, which cancels its calls.
		return
	}
	// A platform that replies with a conflict or a missing object is up.
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
