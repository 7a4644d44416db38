package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/events"
)

// Options configures a Follower.
type Options struct {
	Clock    clock.Clock
	Log      logr.Logger
	Platform *platform.Client
	Store    *accepted.Store
	// Replicas receives the platform's replica list each time it was read.
	Replicas func(ctx context.Context, list []platform.Replica)
}

// Follower watches the platform for documents and replicas.
type Follower struct {
	opts Options
	down bool
}

// New returns a follower that does nothing until Run.
func New(opts Options) *Follower { return &Follower{opts: opts} }

const (
	watchWait    = 30 * time.Second
	callTimeout  = 2 * time.Second
	replicaEvery = time.Second
	retryAfter   = 500 * time.Millisecond
)

// WatchDocuments reads and then watches documents until ctx ends; every proposal is judged and, if right, accepted.
func (f *Follower) WatchDocuments(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		objs, rev, err := f.opts.Platform.Watch(ctx, platform.KindDocument, after, watchWait)
		if err != nil {
			f.note(err)
			f.pause(ctx, retryAfter)
			continue
		}
		f.note(nil)
		after = rev
		for _, obj := range objs {
			f.judge(ctx, obj)
		}
	}
}

// PollReplicas reads the replica list until ctx ends.
func (f *Follower) PollReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		list, err := f.opts.Platform.Replicas(callCtx)
		cancel()
		if err == nil {
			f.opts.Replicas(ctx, list)
		}
		f.pause(ctx, replicaEvery)
	}
}

func (f *Follower) judge(ctx context.Context, obj platform.Object) {
	doc, err := document.Parse(obj.Body)
	if err == nil && doc.Service != obj.Name {
		err = fmt.Errorf("service: %q: the document's object is named %q; want the same name", doc.Service, obj.Name)
	}
	if err != nil {
		events.ConfigRefused.Log(f.opts.Log, "service", obj.Name, "number", obj.Version, "reason", err.Error())
		return
	}
	gen := accepted.Generation{Service: obj.Name, Number: obj.Version, Document: doc}
	if err := f.record(ctx, gen); err != nil {
		f.note(err)
		return
	}
	f.opts.Store.Offer(gen)
}

// record stores the acceptance in the platform before the generation is used anywhere: a generation that is in force somewhere can then always be found again.
func (f *Follower) record(ctx context.Context, gen accepted.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	old, err := f.opts.Platform.Get(ctx, platform.KindAccepted, gen.Service)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var have accepted.Generation
	if err == nil {
		if err := json.Unmarshal(old.Body, &have); err != nil {
			return fmt.Errorf("accepted object of %s: %w", gen.Service, err)
		}
	}
	if have.Number >= gen.Number {
		return nil
	}
	body, err := json.Marshal(gen)
	if err != nil {
		return fmt.Errorf("encode generation %d of %s: %w", gen.Number, gen.Service, err)
	}
	if _, err := f.opts.Platform.Put(ctx, platform.KindAccepted, gen.Service, old.Version, body); err != nil {
		return err
	}
	events.ConfigAccepted.Log(f.opts.Log, "service", gen.Service, "number", gen.Number)
	return nil
}

func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.down:
		f.down = true
		events.PlatformDown.Log(f.opts.Log, "error", err.Error())
	case err == nil && f.down:
		f.down = false
		events.PlatformUp.Log(f.opts.Log)
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.opts.Clock.After(d):
	case <-ctx.Done():
	}
}
