package peers

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net/rpc"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/replicatest"
)

// Waiter is an RPC service whose calls last until Done is closed.
type Waiter struct {
	Running atomic.Int64
	Done    chan struct{}
}

// Wait counts the call and waits.
func (s *Waiter) Wait(string, *struct{}) error {
	s.Running.Add(1)
	<-s.Done
	return nil
}

// serveLimited runs a server within a budget on in-memory connections until the test ends.
func serveLimited(t *testing.T, limit int64) (*replicatest.Listener, *memory.Budget, *Waiter) {
	budget := memory.New(memory.Options{Clock: clock.System{}, Log: logr.Discard(), Limit: limit})
	w := &Waiter{Done: make(chan struct{})}
	s, err := newServer(&Methods{}, &traffic{}, budget)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.rpc.RegisterName("Waiter", w), qt.IsNil)
	l := replicatest.NewListener()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		s.serve(ctx, l)
		close(ended)
	}()
	t.Cleanup(func() {
		close(w.Done)
		cancel()
		<-ended
		qt.Check(t, budget.Held(), qt.Equals, int64(0))
	})
	return l, budget, w
}

// Guards against hosts that run out of memory because other hosts announce large messages, of which nothing else arrives:
// package gob allocates a message at its announcement.
func TestAnnouncedMessagesStayWithinTheMemory(t *testing.T) {
	const limit = 16 << 20
	tests := []struct {
		name   string
		length string
	}{
		{"over the bound of a message", "\xfd\x90\x00\x00"},
		{"within the bound of a message", "\xfd\x0e\x00\x00"},
		{"of more bytes than an int64 has", "\xf7\x90\x00\x00\x00\x00\x00\x00\x00\x00"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, budget, _ := serveLimited(t, limit)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for range 200 {
					c, err := l.Dial()
					qt.Assert(t, err, qt.IsNil)
					t.Cleanup(func() { _ = c.Close() })
					go func() { _, _ = io.WriteString(c, test.length) }()
					qt.Check(t, budget.Held() <= limit, qt.IsTrue)
				}
				synctest.Wait()
				runtime.ReadMemStats(&after)
				allocated := after.TotalAlloc - before.TotalAlloc
				qt.Check(t, allocated < 3*limit, qt.IsTrue, qt.Commentf("%d MB were allocated", allocated>>20))
			})
		})
	}
}

// Guards against a host that runs out of memory because another one sends calls without end and reads no reply: net/rpc runs
// each of them at once.
func TestUnansweredCallsStayWithinTheMemory(t *testing.T) {
	const limit = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		l, budget, w := serveLimited(t, limit)
		c, err := l.Dial()
		qt.Assert(t, err, qt.IsNil)
		client := rpc.NewClient(c)
		t.Cleanup(func() { _ = client.Close() })
		for range 20_000 {
			client.Go("Waiter.Wait", "", &struct{}{}, make(chan *rpc.Call, 1))
			qt.Assert(t, budget.Held() <= limit, qt.IsTrue)
		}
		synctest.Wait()
		running := w.Running.Load()
		// The calls that run stay counted until they end.
		qt.Check(t, budget.Held() >= running*2*messageBytes, qt.IsTrue, qt.Commentf("%d bytes are held for %d calls", budget.Held(), running))
		qt.Check(t, running > 100 && running <= limit/(2*messageBytes), qt.IsTrue, qt.Commentf("%d calls are running", running))
	})
}

// Guards against a connection that is closed since calls that were answered stay counted, also where a large message arrives
// while others are answered.
func TestAnsweredCallsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, budget, w := serveLimited(t, 1<<20)
		c, err := l.Dial()
		qt.Assert(t, err, qt.IsNil)
		client := rpc.NewClient(c)
		t.Cleanup(func() { _ = client.Close() })
		var calls []*rpc.Call
		for range 3 {
			calls = append(calls, client.Go("Waiter.Wait", strings.Repeat("x", 20_000), &struct{}{}, make(chan *rpc.Call, 1)))
		}
		for range 2000 {
			var reply NumberReply
			err := client.Call("Waiter.Unknown", strings.Repeat("x", 1000), &reply)
			qt.Assert(t, err, qt.ErrorMatches, "rpc: can't find method Waiter.Unknown")
		}
		qt.Check(t, budget.Held() < 600<<10, qt.IsTrue, qt.Commentf("%d bytes are held", budget.Held()))
		for range 3 {
			w.Done <- struct{}{}
		}
		for _, call := range calls {
			<-call.Done
			qt.Check(t, call.Error, qt.IsNil)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a connection that is closed, or a message that is not counted, since its beginning is taken for another
// byte's: lengths of one and more bytes, at any boundary between reads.
func TestGobStreamFindsMessages(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		var raw bytes.Buffer
		enc := gob.NewEncoder(&raw)
		var want []int64
		for range 30 {
			before := raw.Len()
			qt.Assert(t, enc.Encode(strings.Repeat("x", r.IntN(1<<r.IntN(18)))), qt.IsNil)
			want = append(want, int64(raw.Len()-before))
		}
		var s gobStream
		var got []int64
		for raw.Len() > 0 {
			for p := raw.Next(1 + r.IntN(5000)); len(p) > 0; {
				n, begun, err := s.advance(p)
				qt.Assert(t, err, qt.IsNil)
				if begun {
					got = append(got, s.length)
				}
				p = p[n:]
			}
		}
		qt.Assert(t, s.betweenMessages(), qt.IsTrue)
		qt.Assert(t, got, qt.HasLen, len(want))
		for i := range want {
			// A length takes one to four bytes here.
			prefix := want[i] - got[i]
			qt.Assert(t, prefix >= 1 && prefix <= 4, qt.IsTrue, qt.Commentf("message %d of %d bytes has the length %d", i, want[i], got[i]))
		}
	}
}
