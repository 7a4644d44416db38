package follow

import (
	"context"
	"errors"
	"fmt"

	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/events"
)

// Refusal says why a proposal is not in force.
type Refusal struct {
	Number int64  `json:"number"`
	Reason string `json:"reason"`
}

// maxTries bounds the conflicts taken in one attempt; each one means that another host recorded something meanwhile.
const maxTries = 4

// judge validates a proposal and records its acceptance; a non-nil error means that the proposal must be judged again.
func (f *Follower) judge(ctx context.Context, obj platform.Object) error {
	if gen, ok := f.opts.Store.Get(obj.Name); ok && gen.Number >= obj.Version {
		f.stale(obj, gen.Number)
		return nil
	}
	doc, err := document.Parse(obj.Body)
	if err == nil && doc.Service != obj.Name {
		err = fmt.Errorf("service: %q: the document's object is named %q; want the same name", doc.Service, obj.Name)
	}
	if err != nil {
		f.refuse(obj, err)
		return nil
	}
	return f.record(ctx, obj, accepted.Generation{Service: obj.Name, Number: obj.Version, Document: doc})
}

// record stores the acceptance in the platform before the generation is used anywhere: a generation that is in force
// somewhere can then always be found again.
//
// What comes into force is what the platform holds, never what this host wanted to store: another host may have
// accepted a higher proposal, or the same one under other defaults of another version. A write whose reply is lost
// leaves it open whether it took effect, so the next attempt reads first, and a lagging read only leads to a conflict.
func (f *Follower) record(ctx context.Context, obj platform.Object, gen accepted.Generation) error {
	for range maxTries {
		err := f.recordOnce(ctx, obj, gen)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return fmt.Errorf("record generation %d of %s: %w", gen.Number, gen.Service, platform.ErrConflict)
}

func (f *Follower) recordOnce(ctx context.Context, obj platform.Object, gen accepted.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	old, err := f.opts.Get(ctx, platform.KindAccepted, gen.Service)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		have, err := accepted.Decode(old.Body)
		if err != nil {
			// Its number can't be read, so that writing over it could revert a higher one.
			f.refuse(obj, err)
			return nil
		}
		f.opts.Store.Offer(have)
		if have.Number >= gen.Number {
			f.stale(obj, have.Number)
			return nil
		}
	}
	body, err := gen.Encoded()
	if err != nil {
		return err
	}
	if _, err := f.opts.Put(ctx, platform.KindAccepted, gen.Service, old.Version, body); err != nil {
		return err
	}
	gen.Raw = body
	events.ConfigAccepted.Log(f.opts.Log, "service", gen.Service, "number", gen.Number)
	f.opts.Store.Offer(gen)
	return nil
}

// stale notes a proposal that is not higher than what is in force; only a lower one is worth a line.
func (f *Follower) stale(obj platform.Object, inForce int64) {
	if obj.Version < inForce {
		events.ConfigStale.Log(f.opts.Log, "service", obj.Name, "number", obj.Version, "in_force", inForce)
	}
}

func (f *Follower) refuse(obj platform.Object, err error) {
	f.mu.Lock()
	f.refusals[obj.Name] = Refusal{Number: obj.Version, Reason: err.Error()}
	f.mu.Unlock()
	events.ConfigRefused.Log(f.opts.Log, "service", obj.Name, "number", obj.Version, "reason", err.Error())
}
