package follow

import (
	"context"
	"fmt"
	"slices"
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

func hostsIn(zones, each int) []member.Host {
	var list []member.Host
	for i := range zones * each {
		list = append(list, member.Host{ID: fmt.Sprint("host-", i), Zone: fmt.Sprint("zone-", i%zones), State: member.StateAlive})
	}
	return list
}

// Guards against watches that grow with the fleet and exhaust the platform's rate limits, since it counts each waiting
// watch as a call. Only two hosts in each zone watch, and a failure of one must move no other.
func TestFewHostsWatch(t *testing.T) {
	c := qt.New(t)
	all := hostsIn(24, 233)
	before := Watchers(all)
	c.Assert(before, qt.HasLen, 48)
	var left []member.Host
	for _, h := range all {
		if h.ID != before[7].ID {
			left = append(left, h)
		}
	}
	kept := 0
	for _, h := range Watchers(left) {
		for _, old := range before {
			if h.ID == old.ID {
				kept++
			}
		}
	}
	c.Assert(kept, qt.Equals, 47)
	c.Assert(Watchers(hostsIn(3, 2)), qt.HasLen, 6)
}

// Guards against polls of the replica list that grow with the fleet: at 2.5 MB a reply, 200 calls a second by 5,600
// hosts take 500 MB/s from the platform and 90 KB/s for each host. Only the watchers may read it, together at most
// twice a second, and every other host once, when it starts; a host without other members reads it every second.
func TestReplicaPollsStayBounded(t *testing.T) {
	for _, test := range []struct {
		zones, hosts int
		// polls is how often one watcher reads in a minute.
		polls int
	}{{1, 1, 60}, {1, 7, 60}, {1, 200, 60}, {3, 67, 20}, {24, 234, 3}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFake(1), hostsIn(test.zones, test.hosts)
			watchers := Watchers(list)
			ctx, cancel := context.WithCancel(t.Context())
			for _, self := range append(slices.Clone(watchers), list[:min(len(list), 10)]...) {
				p.mu.Lock()
				p.reads = 0
				p.mu.Unlock()
				// A starting host has no list, and its neighbours may not have one either.
				want := 1
				if slices.ContainsFunc(watchers, func(h member.Host) bool { return h.ID == self.ID }) {
					want = test.polls
				}
				f := New(Options{
					Clock: clock.System{}, Log: logr.Discard(), Get: p.get, Put: p.put, Watch: p.watch, ReadReplicas: p.replicas,
					Self: func() member.Host { return self }, Hosts: func() []member.Host { return list },
					Replicas: func(context.Context, []platform.Replica) {},
				})
				one, stop := context.WithCancel(ctx)
				go f.PollReplicas(one)
				time.Sleep(time.Minute - time.Millisecond)
				stop()
				synctest.Wait()
				p.mu.Lock()
				c.Assert(p.reads, qt.Equals, want)
				p.mu.Unlock()
			}
			// The first read of each watcher is at its start.
			c.Assert(len(watchers)*(test.polls-1) < 120, qt.IsTrue)
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a host that can't serve since it starts while the platform is down and so has no replica list: it must
// copy the latest list of another host, and keep it.
func TestReplicaListIsTakenOverDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFake(1), hostsIn(1, 3)
		p.down = true
		f := New(Options{
			Clock: clock.System{}, Log: logr.Discard(), Get: p.get, Put: p.put, Watch: p.watch, ReadReplicas: p.replicas,
			Self: func() member.Host { return list[0] }, Hosts: func() []member.Host { return list },
			Replicas:    func(context.Context, []platform.Replica) {},
			AskReplicas: func(context.Context) ([]platform.Replica, error) { return []platform.Replica{{ID: "r-9"}}, nil },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.PollReplicas(ctx)
		time.Sleep(time.Hour)
		c.Assert(f.Replicas(), qt.HasLen, 1)
		c.Assert(f.Replicas()[0].ID, qt.Equals, "r-9")
		cancel()
		synctest.Wait()
	})
}

// Guards against watches that stay open when a whole fleet starts: each host ranks itself as a watcher until it has the
// member list, and without an end of its watches each would keep two waiting calls at the platform.
func TestWatchEndsWithTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFake(1), hostsIn(1, 10)
		var alone atomic.Bool
		alone.Store(true)
		self := member.Ranked(list, "watch")[5]
		f := New(Options{
			Clock: clock.System{}, Log: logr.Discard(), Get: p.get, Put: p.put, Watch: p.watch, ReadReplicas: p.replicas,
			Self: func() member.Host { return self },
			Hosts: func() []member.Host {
				if alone.Load() {
					return []member.Host{self}
				}
				return list
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.WatchDocuments(ctx)
		time.Sleep(2 * time.Second)
		c.Assert(p.watching.Load(), qt.Equals, int32(1))
		alone.Store(false)
		time.Sleep(time.Second)
		c.Assert(p.watching.Load(), qt.Equals, int32(0))
		c.Assert(f.Down(), qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
