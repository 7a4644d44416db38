package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/rumor"
)

func generation(t *testing.T, number string) accepted.Generation {
	gen, err := accepted.Decode([]byte(`{"service":"donor-desk","number":` + number + `,"document":{"service":"donor-desk"}}`))
	qt.Assert(t, err, qt.IsNil)
	return gen
}

func numberAt(h *testHost) int64 {
	gen, _ := h.store.Get("donor-desk")
	return gen.Number
}

// Story: only a few hosts watch the platform. A team raises a limit before the Saturday rush; a host that doesn't hear
// of it goes on refusing. Every host must have the generation in force within 4 s of the first one, among them one
// that starts later, during an outage of the platform, and knows a single other host.
func TestGenerationReachesEveryHost(t *testing.T) {
	play(t, 9, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		hosts[5].store.Offer(generation(t, "3"))
		time.Sleep(4 * time.Second)
		for _, h := range hosts {
			c.Assert(numberAt(h), qt.Equals, int64(3))
		}
		late := f.start(20)
		time.Sleep(4 * time.Second)
		c.Assert(numberAt(late), qt.Equals, int64(3))
		list, err := late.peers.AskReplicas(f.t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 1)
	})
}

// Story: the same news is lost everywhere, since a switch restarts just then. Nobody tells it a second time; the sums
// in the next probes must show the difference.
func TestDigestsRepairLostNews(t *testing.T) {
	play(t, 6, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		f.newsLost = true
		hosts[2].store.Offer(generation(t, "4"))
		time.Sleep(8 * time.Second)
		for _, h := range hosts {
			c.Assert(numberAt(h), qt.Equals, int64(4))
		}
	})
}

// Story: a request crashes an upstream at one host, and its caller sends it again to another. Unless every host hears
// of it at once, each crashes one more upstream.
func TestRumorReachesEveryHostAndExpires(t *testing.T) {
	play(t, 9, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		heard := 0
		hosts[8].rumors.Subscribe(rumor.KindQuarantine, func(rumor.Rumor) { heard++ })
		r := rumor.Rumor{Kind: rumor.KindQuarantine, Service: "donor-desk", Key: "f00d", Number: 1, Expires: time.Now().Add(30 * time.Second)}
		c.Assert(hosts[0].peers.Publish(r), qt.IsNil)
		time.Sleep(time.Second)
		for _, h := range hosts {
			c.Assert(h.rumors.Len(), qt.Equals, 1)
		}
		late := f.start(20)
		time.Sleep(3 * time.Second)
		c.Assert(late.rumors.Len(), qt.Equals, 1)
		c.Assert(heard, qt.Equals, 1)
		time.Sleep(time.Minute)
		c.Assert(late.rumors.Len(), qt.Equals, 0)
	})
}

// Story: something between two hosts loses track of their open connections. Everything written on them vanishes, while
// new connections work. The hosts are healthy, so nobody may be taken for dead, and probes go on over new connections.
func TestSilentConnectionsAreReplacedAndNobodyIsBlamed(t *testing.T) {
	play(t, 6, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		f.silence()
		time.Sleep(30 * time.Second)
		for _, h := range hosts {
			c.Assert(h.list.Hosts(), qt.HasLen, 6)
			for _, other := range h.list.Hosts() {
				c.Assert(other.State, qt.Equals, member.StateAlive)
			}
		}
		before := f.dialled()
		time.Sleep(30 * time.Second)
		c.Assert(f.dialled(), qt.Equals, before, qt.Commentf("connections are still being replaced"))
	})
}

// Story: a host is told to stop. Callers must not be sent to it any more, though it still finishes their requests.
func TestLeavingIsKnownEverywhereWithinASecond(t *testing.T) {
	play(t, 40, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		hosts[3].peers.Leave(f.t.Context())
		time.Sleep(time.Second)
		for i, h := range hosts {
			for _, other := range h.list.Hosts() {
				if other.ID == hosts[3].list.Self().ID {
					c.Assert(other.State, qt.Equals, member.StateLeaving, qt.Commentf("at host %d", i))
				}
			}
		}
	})
}

// Story: a scanner, or a host of another version, sends bytes that aren't net/rpc, and calls with arguments that make
// no sense. The host must go on serving the others.
func TestBytesThatMakeNoSenseEndOnlyTheirConnection(t *testing.T) {
	play(t, 3, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x00"} {
			conn, err := f.dial(f.t.Context(), hosts[0].addr)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
			_, _ = conn.Write([]byte(junk))
			_ = conn.Close()
		}
		var reply SumsReply
		err := hosts[1].peers.pool.call(f.t.Context(), hosts[0].addr, time.Second, "Sums", &SumsArgs{Table: "nothing"}, &reply)
		c.Assert(err, qt.IsNil)
		args := &SumsArgs{Table: TableMembers}
		args.Prefix.Depth = -3
		err = hosts[1].peers.pool.call(f.t.Context(), hosts[0].addr, time.Second, "Sums", args, &reply)
		c.Assert(err, qt.ErrorMatches, ".*depth -3.*")
		time.Sleep(10 * time.Second)
		c.Assert(hosts[1].list.Hosts(), qt.HasLen, 3)
	})
}

// Story: a broken host sends one message that never ends. Without a bound the host that reads it keeps all of it, until
// the system ends the process together with the queries that it serves.
func TestMessageThatNeverEndsIsCutOff(t *testing.T) {
	play(t, 2, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		conn, err := f.dial(f.t.Context(), hosts[0].addr)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		// A gob message of 512 MB is announced by its length.
		_, err = conn.Write([]byte{0xfc, 0x20, 0x00, 0x00, 0x00})
		c.Assert(err, qt.IsNil)
		sent := 0
		for block := make([]byte, 64<<10); err == nil && sent < 8*maxRequest; sent += len(block) {
			_, err = conn.Write(block)
		}
		c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes were taken", sent))
		c.Assert(sent <= 2*maxRequest, qt.IsTrue, qt.Commentf("%d bytes were taken", sent))
	})
}

// Story: the address of a stopped host is given to something else, or a host is cut off: each dial hangs or is refused.
// The number of connections that a host holds must stay bounded whatever it tries.
func TestConnectionsStayBounded(t *testing.T) {
	play(t, 40, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		for _, h := range hosts[1:] {
			_ = hosts[0].peers.pool.call(f.t.Context(), h.addr, time.Second, "Number", &GenerationArgs{}, &NumberReply{})
		}
		c.Assert(len(hosts[0].peers.pool.clients) <= maxClients, qt.IsTrue)
	})
}

// Story: hundreds of hosts start and turn to the few that their settings name, by connections that they then hardly
// use. Later a host that works with one of these every second must get a connection to it, and its earlier one must
// have been kept; a host whose unused connection made room for it must not notice.
func TestNewcomersFindRoom(t *testing.T) {
	play(t, 2, func(f *fleet, hosts []*testHost) {
		c := qt.New(t)
		ctx := f.t.Context()
		ask := func(h *testHost) error {
			return h.peers.Work(ctx, hosts[0].addr, time.Second, "Peers.Number", &GenerationArgs{}, &NumberReply{})
		}
		early, busy := f.start(30), f.start(31)
		c.Assert(ask(early), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(ask(busy), qt.IsNil)
		for i := range maxServed {
			_, err := f.dial(ctx, hosts[0].addr)
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Millisecond)
			if i%20 == 0 {
				c.Assert(ask(busy), qt.IsNil)
			}
		}
		before := busy.peers.traffic.connections.Load()
		late := f.start(32)
		c.Check(ask(late), qt.IsNil)
		c.Check(ask(busy), qt.IsNil)
		c.Check(ask(early), qt.IsNil)
		c.Check(busy.peers.traffic.connections.Load(), qt.Equals, before)
	})
}
