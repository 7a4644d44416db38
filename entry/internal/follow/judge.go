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

// Refusal is the reason why a proposal is not in force.
type Refusal struct {
	Number int64  `json:"number"`
	Reason string `json:"reason"`
}

// maxRecordAttempts is the maximum number of attempts in one call of record; each conflict means that another host
// wrote meanwhile.
const maxRecordAttempts = 4

// judge validates a proposal and records it as accepted; after a non-nil error the proposal must be judged again.
func (f *Follower) judge(ctx context.Context, obj platform.Object) error {
	if gen, ok := f.opts.Store.Get(obj.Name); ok && gen.Number >= obj.Version {
		f.logStale(obj, gen.Number)
		return nil
	}
	doc, err := document.Parse(obj.Body)
	if obj.Unreadable != nil {
		err = obj.Unreadable
	}
	if err == nil && doc.Service != obj.Name {
		err = fmt.Errorf("service: %q: the document's object is named %q; want the same name", doc.Service, obj.Name)
	}
	if err != nil {
		f.refuse(obj, err)
		return nil
	}
	return f.record(ctx, obj, accepted.Generation{Service: obj.Name, Number: obj.Version, Document: doc})
}

// record stores the accepted generation in the platform before any host uses it, so that a generation in force can
// always be read from the platform.
//
// The generation that the platform stores comes into force, never one that this host failed to store: another host may
// have accepted a higher proposal, or the same one with the defaults of another version. After a lost reply it is
// unknown whether the write took effect, so each attempt reads first; a lagging read only leads to a conflict.
func (f *Follower) record(ctx context.Context, obj platform.Object, gen accepted.Generation) error {
	for range maxRecordAttempts {
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
		have, err := accepted.FromObject(old)
		if err != nil {
			// Its number is unreadable, so overwriting it could revert a higher one.
			f.refuse(obj, err)
			return nil
		}
		f.opts.Store.Offer(have)
		if have.Number >= gen.Number {
			f.logStale(obj, have.Number)
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

// logStale logs a proposal that is lower than the generation in force; an equal one is the normal case.
func (f *Follower) logStale(obj platform.Object, inForce int64) {
	if obj.Version < inForce {
		events.ConfigStale.Log(f.opts.Log, "service", obj.Name, "number", obj.Version, "in_force", inForce)
	}
}

// refuse stores and logs why a proposal was refused.
func (f *Follower) refuse(obj platform.Object, err error) {
	f.mu.Lock()
	f.refusals[obj.Name] = Refusal{Number: obj.Version, Reason: err.Error()}
	f.mu.Unlock()
	events.ConfigRefused.Log(f.opts.Log, "service", obj.Name, "number", obj.Version, "reason", err.Error())
}
