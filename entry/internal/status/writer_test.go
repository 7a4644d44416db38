package status

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/member"
)

// fakeFleet is a fleet with a fake platform; a test changes its state while the writers of all hosts run.
type fakeFleet struct {
	mu      sync.Mutex
	object  platform.Object
	puts    int
	down    bool
	report  platform.Status
	lagging map[string]bool
	hosts   []member.Host
}

func (s *fakeFleet) get(context.Context, platform.Kind, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.object, nil
}

func (s *fakeFleet) put(_ context.Context, _ platform.Kind, _ string, version int64, b []byte) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return platform.Object{}, platform.ErrUnavailable
	case s.object.Version != version:
		return platform.Object{}, platform.ErrConflict
	}
	s.puts++
	s.object = platform.Object{Version: version + 1, Body: b}
	return s.object, nil
}

func (s *fakeFleet) number(_ context.Context, h member.Host, _ string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lagging[h.ID] {
		return s.report.Generation - 1, nil
	}
	return s.report.Generation, nil
}

func (s *fakeFleet) set(f func(s *fakeFleet)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// written returns the status on the platform and the number of writes.
func (s *fakeFleet) written(c *qt.C) (platform.Status, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st platform.Status
	c.Assert(json.Unmarshal(s.object.Body, &st), qt.IsNil)
	return st, s.puts
}

func runWriters(t *testing.T, f func(c *qt.C, s *fakeFleet)) {
	runWritersInEra(t, nil, f)
}

// runWritersInEra runs the writers of all hosts with a restart era, and f beside them after ten seconds.
func runWritersInEra(t *testing.T, era func() int64, f func(c *qt.C, s *fakeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeFleet{lagging: map[string]bool{}, report: platform.Status{Service: "board-feed", Generation: 1, Proposed: 1}}
		for i := range 7 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
			s.hosts = append(s.hosts, member.Host{ID: fmt.Sprint("host-", i), Caller: addr, Peer: addr, Zone: fmt.Sprint(i % 3), State: member.StateAlive})
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, self := range s.hosts {
			go New(Options{
				Clock: clock.System{}, Log: logr.Discard(), Get: s.get, Put: s.put, Number: s.number, Era: era,
				Self: func() member.Host { return self }, Hosts: func() []member.Host { return s.hosts },
				First:    func(purpose string) bool { return member.Ranked(s.hosts, purpose)[0].ID == self.ID },
				Services: func() []string { return []string{"board-feed"} },
				Report: func(string) platform.Status {
					s.mu.Lock()
					defer s.mu.Unlock()
					return s.report
				},
			}).Run(ctx)
		}
		time.Sleep(10 * time.Second)
		f(qt.New(t), s)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against too many status writes: the platform takes a few hundred writes a second for all its users, and a
// replica flaps all the time. Only one host may write, only after a change, and at most once every five seconds.
func TestOneHostWritesChangesAtABoundedRate(t *testing.T) {
	runWriters(t, func(c *qt.C, s *fakeFleet) {
		_, before := s.written(c)
		c.Assert(before, qt.Equals, 1)
		for i := range 120 {
			s.set(func(s *fakeFleet) { s.report.Replicas.Known = 30 + i%2 })
			time.Sleep(500 * time.Millisecond)
		}
		_, after := s.written(c)
		c.Assert(after-before <= 13, qt.IsTrue, qt.Commentf("%d writes in a minute", after-before))
		time.Sleep(10 * time.Minute)
		_, quiet := s.written(c)
		c.Assert(quiet-after <= 1, qt.IsTrue, qt.Commentf("%d writes while nothing changed", quiet-after))
	})
}

// Guards against a refused proposal that looks accepted. A team applies an invalid document and the previous one stays
// in force; without the refused proposal and the reason in the status, the team assumes that its change is in force.
func TestStatusSaysWhatWasRefusedAndWhoLags(t *testing.T) {
	runWriters(t, func(c *qt.C, s *fakeFleet) {
		s.set(func(s *fakeFleet) { s.report.Proposed, s.report.Refused = 2, "hedge.budget_percent: -1: out of range" })
		time.Sleep(10 * time.Second)
		st, _ := s.written(c)
		c.Assert(st.Generation, qt.Equals, int64(1))
		c.Assert(st.Proposed, qt.Equals, int64(2))
		c.Assert(st.Refused, qt.Contains, "hedge.budget_percent")

		s.set(func(s *fakeFleet) {
			s.report.Proposed, s.report.Refused, s.report.Generation = 3, "", 3
			s.lagging["host-4"] = true
		})
		time.Sleep(10 * time.Second)
		st, _ = s.written(c)
		c.Assert(st.Hosts, qt.Equals, platform.StatusHosts{Alive: 7, Asked: 7, InForce: 6})
		s.set(func(s *fakeFleet) { s.lagging = nil })
		time.Sleep(10 * time.Second)
		st, _ = s.written(c)
		c.Assert(st.Hosts.InForce, qt.Equals, 7)
	})
}

// Guards against a status that stays stale after an outage: the platform is down for an hour while the status changes.
func TestStatusIsTrueAgainAfterAnOutage(t *testing.T) {
	runWriters(t, func(c *qt.C, s *fakeFleet) {
		s.set(func(s *fakeFleet) { s.down, s.report.Replicas.Known = true, 29 })
		time.Sleep(time.Hour)
		s.set(func(s *fakeFleet) { s.down = false })
		time.Sleep(10 * time.Second)
		st, _ := s.written(c)
		c.Assert(st.Replicas.Known, qt.Equals, 29)
	})
}

// Guards against a stale status after the platform's store was restored from a backup: it would stay wrong until the
// next change.
func TestLostStatusIsWrittenAgain(t *testing.T) {
	var era atomic.Int64
	runWritersInEra(t, era.Load, func(c *qt.C, s *fakeFleet) {
		var old platform.Object
		s.set(func(s *fakeFleet) { old, s.report.Generation = s.object, 2 })
		time.Sleep(10 * time.Second)
		s.set(func(s *fakeFleet) { s.object = old })
		era.Add(1)
		time.Sleep(10 * time.Second)
		st, _ := s.written(c)
		c.Assert(st.Generation, qt.Equals, int64(2))
	})
}
