package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/member"
)

const desk = "donor-desk"

func follower(p *fake, store *accepted.Store) *Follower {
	self := member.Host{ID: "a", State: member.StateAlive}
	return New(Options{
		Clock: clock.System{}, Log: logr.Discard(), Get: p.get, Put: p.put, Watch: p.watch, ReadReplicas: p.replicas, Store: store,
		Self: func() member.Host { return self }, Hosts: func() []member.Host { return []member.Host{self} },
	})
}

func proposalOf(version int64, body string) platform.Object {
	return platform.Object{Kind: platform.KindDocument, Name: desk, Version: version, Body: []byte(body)}
}

func documentBody(slots int) string {
	return fmt.Sprintf(`{"service":%q,"upstream":{"slots":%d}}`, desk, slots)
}

// acceptedBody has a key that is unknown to this version, and a number of slots that no proposal in the tests has.
func acceptedBody(number int64) string {
	return fmt.Sprintf(`{"service":%q,"number":%d,"document":{"service":%q,"upstream":{"slots":3,"connections":40,"entry_hosts":8},"later_key":1}}`, desk, number, desk)
}

// Guards against a host that goes back to old limits, since it takes a lagging read of a document for the accepted one.
// Whatever a host reads, the highest generation that the platform stores as accepted comes into force.
func TestJudgePutsInForceWhatIsAccepted(t *testing.T) {
	for _, test := range []struct {
		name      string
		recorded  string
		proposal  platform.Object
		wantSlots int
		wantNum   int64
		wantErr   bool
		refused   string
	}{
		{name: "first", proposal: proposalOf(1, documentBody(7)), wantSlots: 7, wantNum: 1},
		{name: "next", recorded: acceptedBody(1), proposal: proposalOf(2, documentBody(7)), wantSlots: 7, wantNum: 2},
		{name: "lagging read of an older proposal", recorded: acceptedBody(5), proposal: proposalOf(4, documentBody(7)), wantSlots: 3, wantNum: 5},
		{name: "accepted by a host with other defaults", recorded: acceptedBody(4), proposal: proposalOf(4, documentBody(7)), wantSlots: 3, wantNum: 4},
		{name: "bad document", recorded: acceptedBody(4), proposal: proposalOf(5, documentBody(-1)), wantNum: 0, refused: "upstream.slots"},
		{name: "document of another service", proposal: proposalOf(1, `{"service":"ticket-desk"}`), refused: "want the same name"},
		{name: "accepted object unreadable here", recorded: `{"service":"donor-desk","number":"9"}`, proposal: proposalOf(5, documentBody(7)), refused: "accepted object"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, store := newFake(1), accepted.New(nil)
				if test.recorded != "" {
					_, err := p.put(t.Context(), platform.KindAccepted, desk, 0, []byte(test.recorded))
					c.Assert(err, qt.IsNil)
				}
				f := follower(p, store)
				f.addProposals([]platform.Object{test.proposal})
				c.Assert(f.judge(t.Context(), test.proposal), qt.IsNil)
				gen, _ := store.Get(desk)
				c.Assert(gen.Number, qt.Equals, test.wantNum)
				c.Assert(gen.Document.Upstream.Slots, qt.Equals, test.wantSlots)
				_, refusal := f.Proposed(desk)
				c.Assert(refusal.Reason, qt.Contains, test.refused)
			})
		})
	}
}

// Guards against a document that never comes into force, without any message, when the platform is down, lags or loses
// replies while it is applied: the watch returns the document only once, so a single failed attempt would be final.
func TestProposalIsJudgedAgainUntilItIsRecorded(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(p *fake)
	}{
		{"outage of ten minutes", func(p *fake) { p.down = true }},
		{"reply lost after the effect", func(p *fake) { p.lost = 1 }},
		{"reads lag", func(p *fake) { p.lag = 0.9 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, store := newFake(2), accepted.New(nil)
				_, err := p.put(t.Context(), platform.KindAccepted, desk, 0, []byte(acceptedBody(1)))
				c.Assert(err, qt.IsNil)
				f := follower(p, store)
				ctx, cancel := context.WithCancel(t.Context())
				go f.ProcessProposals(ctx)
				test.fault(p)
				f.addProposals([]platform.Object{proposalOf(2, documentBody(7))})
				time.Sleep(10 * time.Minute)
				p.mu.Lock()
				p.down = false
				p.mu.Unlock()
				time.Sleep(10 * time.Second)
				gen, _ := store.Get(desk)
				c.Assert(gen.Number, qt.Equals, int64(2))
				cancel()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// Guards against a host that drops keys of a newer version during an upgrade: if it passed on only the keys that it
// can parse, the hosts that receive the document from it would run without the others under the same number.
func TestOlderHostHandsOnKeysThatItDoesNotKnow(t *testing.T) {
	c := qt.New(t)
	gen, err := accepted.Decode([]byte(acceptedBody(4)))
	c.Assert(err, qt.IsNil)
	c.Assert(gen.Document.Deadline.Max.Std(), qt.Equals, 5*time.Second, qt.Commentf("a key that was not written takes its default"))
	raw, err := gen.Encoded()
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Contains, "later_key")
}
