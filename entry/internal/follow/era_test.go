package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
)

// laterEra is the base of the versions in the first era after a restore of the platform's store.
const laterEra = 1 << 40

// Guards against an accepted generation that is lost with the platform's newest writes: a starting host would use an
// older one.
func TestLostAcceptanceIsRecordedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := newFake(1), accepted.New(nil)
		f := follower(p, store)
		var era atomic.Int64
		f.opts.Era = era.Load
		newest, err := accepted.Decode([]byte(acceptedBody(7)))
		qt.Assert(t, err, qt.IsNil)
		store.Offer(newest)
		k := key(platform.KindAccepted, desk)
		lost := []platform.Object{{Kind: platform.KindAccepted, Name: desk, Version: 1, Body: []byte(acceptedBody(5))}}
		p.history[k] = lost
		held := func() (number int64, writes int) {
			time.Sleep(5 * time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			gen, err := accepted.Decode(p.history[k][len(p.history[k])-1].Body)
			qt.Assert(t, err, qt.IsNil)
			return gen.Number, len(p.puts)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.ProcessProposals(ctx)
		f.applyAccepted(lost)
		number, writes := held()
		qt.Check(t, []any{number, writes}, qt.DeepEquals, []any{int64(5), 0})
		era.Store(1)
		f.applyAccepted(lost)
		number, writes = held()
		qt.Check(t, []any{number, writes}, qt.DeepEquals, []any{int64(7), 1})
		inForce, _ := store.Get(desk)
		qt.Check(t, inForce.Number, qt.Equals, int64(7))
		cancel()
	})
}

// Guards against a document that is never accepted, since its version had been assigned to one that was lost, and
// against an older document that the restored store returns.
func TestVersionOfALaterEraIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, store := newFake(1), accepted.New(nil)
		f := follower(p, store)
		ctx, cancel := context.WithCancel(t.Context())
		go f.ProcessProposals(ctx)
		inForce := func() int64 {
			time.Sleep(settleTime)
			gen, _ := store.Get(desk)
			return gen.Number
		}
		f.addProposals([]platform.Object{proposalOf(7, documentBody(7))})
		qt.Assert(t, inForce(), qt.Equals, int64(7))
		f.addProposals([]platform.Object{proposalOf(5, documentBody(5))})
		qt.Assert(t, inForce(), qt.Equals, int64(7))
		f.addProposals([]platform.Object{proposalOf(laterEra|6, documentBody(6))})
		qt.Assert(t, inForce(), qt.Equals, int64(laterEra|6))
		gen, _ := store.Get(desk)
		qt.Assert(t, gen.Document.Upstream.Slots, qt.Equals, 6)
		cancel()
	})
}
