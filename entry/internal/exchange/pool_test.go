package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/wire"
)

func newPool(f *replicatest.Farm, r *replicatest.Replica) *exchange.Pool {
	codec := wire.Codec()
	return exchange.New(exchange.Options{Clock: clock.System{}, Addr: r.Row.Addr, Codec: &codec, Dial: f.Dial})
}

func call(id string) *exchange.Call {
	return &exchange.Call{
		Request: &opaque.Request{ID: id, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}},
		Replica: "a-1", Deadline: time.Now().Add(time.Second), Connections: 4,
	}
}

// Guards against replies that reach the wrong request, and so the wrong client. A replica sends a second reply to a
// request that it has already replied to. The next request on the connection must not receive it.
func TestLateReplyIsDiscarded(t *testing.T) {
	tests := []struct {
		name      string
		lateAfter time.Duration
		wait      time.Duration
	}{
		{"while the connection is idle", 10 * time.Millisecond, 50 * time.Millisecond},
		{"with the reply", 0, 0},
		{"before the next reply", 10 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replicatest.New()
				r := f.Add("a", 1, func(req *http.Request, _ []byte) replicatest.Answer {
					id := platformtest.ReadRequestHeader(req).ID
					a := replicatest.Answer{After: 20 * time.Millisecond, Raw: platformtest.Reply(200, id, "s."+id, []byte(id))}
					if id == "one" {
						a.Late, a.LateAfter = platformtest.Reply(200, id, "s."+id, []byte("late")), test.lateAfter
					}
					return a
				})
				p := newPool(f, r)
				defer p.Close()
				first := p.Do(t.Context(), call("one"))
				qt.Assert(t, first.Kind, qt.Equals, upstream.KindOK)
				qt.Assert(t, string(first.Body), qt.Equals, "one")
				time.Sleep(test.wait)
				second := p.Do(t.Context(), call("two"))
				// The second call may fail, depending on which message is sent first, but it must never return the
				// late reply.
				if second.Kind == upstream.KindOK {
					qt.Assert(t, string(second.Body), qt.Equals, "two")
				} else {
					qt.Assert(t, second.Body, qt.HasLen, 0)
				}
				third := p.Do(t.Context(), call("three"))
				qt.Assert(t, string(third.Body), qt.Equals, "three")
			})
		})
	}
}

// Guards against the late second reply to an attempt that is taken for the reply to a later attempt of the same request.
// A replica rejects a request, receives it again, sends the rejection a second time, and runs the request.
func TestLateReplyIsNotTakenForResend(t *testing.T) {
	tests := []struct {
		name    string
		limit   int
		between []string
		dials   int
	}{
		{"the connection is the only idle one", 4, nil, 2},
		{"no other connection is allowed", 1, nil, 2},
		{"another request came between", 4, []string{"two"}, 2},
		{"many requests came between", 4, []string{"two", "three", "four", "five"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replicatest.New()
				arrivals := 0
				r := f.Add("a", 1, func(req *http.Request, body []byte) replicatest.Answer {
					arrivals++
					a := replicatest.OK("a-1", 20*time.Millisecond, "x")(req, body)
					if arrivals == 1 {
						a = replicatest.Full()(req, body)
					}
					if arrivals == 1+len(test.between) {
						a.Late, a.LateNext = platformtest.NotRun("one"), true
					}
					return a
				})
				p := newPool(f, r)
				defer p.Close()
				do := func(id string) exchange.Result {
					c := call(id)
					c.Connections, c.Once = test.limit, true
					return p.Do(t.Context(), c)
				}
				qt.Assert(t, do("one").Kind, qt.Equals, upstream.KindShed)
				for _, id := range test.between {
					qt.Assert(t, do(id).Kind, qt.Equals, upstream.KindOK)
				}
				res := do("one")
				qt.Check(t, res.Kind, qt.Equals, upstream.KindOK, qt.Commentf("%s", res.Detail))
				qt.Check(t, f.Dials(), qt.Equals, test.dials)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against requests that fail although their reply arrives: it follows a late second reply to an earlier request.
func TestReplyAfterLateReply(t *testing.T) {
	late := platformtest.Reply(200, "one", "s.one", []byte("late"))
	tests := []struct {
		name   string
		method string
		late   []byte
		want   upstream.Kind
	}{
		{"one late reply", http.MethodGet, late, upstream.KindOK},
		{"two late replies", http.MethodGet, slices.Concat(late, late), upstream.KindForeign},
		{"a late reply of an unknown request", http.MethodGet, platformtest.Reply(200, "other", "s", nil), upstream.KindForeign},
		{"a late reply that ends with its connection", http.MethodGet, platformtest.Unframed("one", "s.one", []byte("late")), upstream.KindForeign},
		{"a late reply without the body that its header announces", http.MethodHead, bytes.TrimSuffix(late, []byte("late")), upstream.KindForeign},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replicatest.New()
				r := f.Add("a", 1, func(req *http.Request, body []byte) replicatest.Answer {
					id := platformtest.ReadRequestHeader(req).ID
					a := replicatest.OK("a-1", 20*time.Millisecond, id)(req, body)
					if id == "one" {
						a.Late, a.LateNext = test.late, true
					}
					if req.Method == http.MethodHead {
						a.Raw = bytes.TrimSuffix(a.Raw, []byte(id))
					}
					return a
				})
				p := newPool(f, r)
				defer p.Close()
				one := call("one")
				one.Request.Method = test.method
				qt.Assert(t, p.Do(t.Context(), one).Kind, qt.Equals, upstream.KindOK)
				res := p.Do(t.Context(), call("two"))
				qt.Check(t, res.Kind, qt.Equals, test.want, qt.Commentf("%s", res.Detail))
				if test.want == upstream.KindOK {
					qt.Check(t, string(res.Body), qt.Equals, "two")
					qt.Check(t, res.LateID, qt.Equals, "one")
				}
				// The connection on which a late reply arrived is not used again.
				qt.Check(t, string(p.Do(t.Context(), call("three")).Body), qt.Equals, "three")
				qt.Check(t, f.Dials(), qt.Equals, 2)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a late reply without an id that is taken for the reply to a later request. On the first request of a
// connection, such a reply can belong to no other.
func TestReplyWithoutIDOnReusedConnection(t *testing.T) {
	tests := []struct {
		name string
		late []byte
	}{
		{"a success", platformtest.Reply(200, "", "s", []byte("late"))},
		{"a rejection", platformtest.NotRun("")},
		{"another replica's", platformtest.Misdirected("")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replicatest.New()
				r := f.Add("a", 1, func(*http.Request, []byte) replicatest.Answer {
					return replicatest.Answer{After: 10 * time.Millisecond, Raw: platformtest.Reply(200, "", "s", []byte("x")), Late: test.late, LateNext: true}
				})
				p := newPool(f, r)
				defer p.Close()
				qt.Check(t, p.Do(t.Context(), call("one")).Kind, qt.Equals, upstream.KindOK)
				res := p.Do(t.Context(), call("two"))
				qt.Check(t, res.Kind, qt.Equals, upstream.KindForeign, qt.Commentf("%s", res.Detail))
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against needless new connections: a request that was already sent on the most recently used connection goes out
// on another idle one.
func TestResendUsesAnotherIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		r := f.Add("a", 1, replicatest.OK("a-1", 10*time.Millisecond, "x"))
		p := newPool(f, r)
		defer p.Close()
		var calls sync.WaitGroup
		for _, id := range []string{"one", "two"} {
			calls.Go(func() { p.Do(t.Context(), call(id)) })
		}
		calls.Wait()
		for range 2 {
			qt.Assert(t, p.Do(t.Context(), call("three")).Kind, qt.Equals, upstream.KindOK)
		}
		qt.Assert(t, f.Dials(), qt.Equals, 2)
		time.Sleep(time.Second)
	})
}

// Guards against a record of sent requests that grows without bound: a connection is replaced after 1,024 requests.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		r := f.Add("a", 1, replicatest.OK("a-1", 0, "x"))
		p := newPool(f, r)
		defer p.Close()
		for i := range 2048 {
			qt.Assert(t, p.Do(t.Context(), call(strconv.Itoa(i))).Kind, qt.Equals, upstream.KindOK)
		}
		qt.Assert(t, f.Dials(), qt.Equals, 2)
		time.Sleep(time.Second)
	})
}

// Guards against automatic retries. The connection breaks while a request is in flight. net/http.Transport would resend
// a GET on another connection; here it must reach the replica once and be reported as broken.
func TestBrokenRequestIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		n := 0
		r := f.Add("a", 1, func(req *http.Request, b []byte) replicatest.Answer {
			if n++; n == 2 {
				return replicatest.Answer{}
			}
			return replicatest.OK("a-1", time.Millisecond, "x")(req, b)
		})
		p := newPool(f, r)
		defer p.Close()
		qt.Assert(t, p.Do(t.Context(), call("one")).Kind, qt.Equals, upstream.KindOK)
		qt.Assert(t, p.Do(t.Context(), call("two")).Kind, qt.Equals, upstream.KindBroken)
		qt.Assert(t, r.Runs(), qt.DeepEquals, []string{"one", "two"})
	})
}

// Guards against truncated or foreign replies that pass for complete ones. A reply without a length ends with its
// connection; one that is shorter than its Content-Length is broken.
func TestReplyKinds(t *testing.T) {
	whole := platformtest.Reply(200, "one", "s", []byte("whole"))
	tests := []struct {
		name string
		raw  []byte
		want upstream.Kind
	}{
		{"no length", platformtest.Unframed("one", "s", []byte("whole")), upstream.KindOK},
		{"cut off", whole[:len(whole)-2], upstream.KindBroken},
		{"cut off in the header", whole[:20], upstream.KindBroken},
		{"not a reply", []byte("\x00\x01\x02\x03\x04\x05\r\n\r\n"), upstream.KindBroken},
		{"another request's", platformtest.Reply(200, "two", "s", nil), upstream.KindForeign},
		{"no stamp", platformtest.Reply(200, "one", "", nil), upstream.KindError},
		{"failure", platformtest.Reply(500, "one", "s", nil), upstream.KindError},
		{"not run", platformtest.NotRun("one"), upstream.KindShed},
		{"another replica", platformtest.Misdirected("one"), upstream.KindRefused},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := replicatest.New()
			r := f.Add("a", 1, func(*http.Request, []byte) replicatest.Answer {
				return replicatest.Answer{Raw: test.raw, Close: true}
			})
			p := newPool(f, r)
			defer p.Close()
			res := p.Do(t.Context(), call("one"))
			qt.Check(t, res.Kind, qt.Equals, test.want, qt.Commentf("%s: %s", test.name, res.Detail))
		})
	}
}

// Guards against a remaining time that is computed too early. Opening the connection takes 250 ms of a request's 1 s.
// The replica must receive the 750 ms that remain then, or it would still work after the client's deadline.
func TestRemainingTimeIsComputedAfterDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		f.DialTime = 250 * time.Millisecond
		var sentDeadline string
		r := f.Add("a", 1, func(req *http.Request, b []byte) replicatest.Answer {
			sentDeadline = platformtest.ReadRequestHeader(req).Deadline
			return replicatest.OK("a-1", 0, "x")(req, b)
		})
		p := newPool(f, r)
		defer p.Close()
		qt.Assert(t, p.Do(t.Context(), call("one")).Kind, qt.Equals, upstream.KindOK)
		qt.Assert(t, sentDeadline, qt.Equals, "750")
	})
}

// Guards against requests to a draining replica. The replica starts to drain while a connection to it is being opened:
// nothing may be sent, and the request must count as not sent.
func TestGuardRunsAfterDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		f.DialTime = 10 * time.Millisecond
		r := f.Add("a", 1, replicatest.OK("a-1", 0, "x"))
		p := newPool(f, r)
		defer p.Close()
		c := call("one")
		drainsAt := time.Now().Add(5 * time.Millisecond)
		c.Guard = func() error {
			if time.Now().After(drainsAt) {
				return errors.New("the replica drains")
			}
			return nil
		}
		qt.Assert(t, p.Do(t.Context(), c).Kind, qt.Equals, upstream.KindNotSent)
		qt.Assert(t, r.Arrivals(), qt.Equals, 0)
	})
}

// Guards against reuse of a connection whose request was canceled. Cancellation must close the connection, which
// signals it to the replica, and the next request must open a new one.
func TestCancelClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		r := f.Add("a", 1, replicatest.OK("a-1", 100*time.Millisecond, "x"))
		p := newPool(f, r)
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		qt.Assert(t, p.Do(ctx, call("one")).Kind, qt.Equals, upstream.KindCanceled)
		qt.Assert(t, p.Do(t.Context(), call("two")).Kind, qt.Equals, upstream.KindOK)
		qt.Assert(t, f.Dials(), qt.Equals, 2)
		time.Sleep(time.Second)
	})
}

// Guards against connections over the limit: with two allowed, a third concurrent call must fail as busy and not sent.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replicatest.New()
		r := f.Add("a", 1, replicatest.OK("a-1", 100*time.Millisecond, "x"))
		p := newPool(f, r)
		defer p.Close()
		done := make(chan exchange.Result, 2)
		for _, id := range []string{"one", "two"} {
			c := call(id)
			c.Connections = 2
			go func() { done <- p.Do(t.Context(), c) }()
		}
		synctest.Wait()
		c := call("three")
		c.Connections = 2
		res := p.Do(t.Context(), c)
		qt.Assert(t, res.Busy, qt.IsTrue)
		qt.Assert(t, res.Kind, qt.Equals, upstream.KindNotSent)
		<-done
		<-done
		qt.Assert(t, r.Arrivals(), qt.Equals, 2)
	})
}

// Guards against writes with an unknown outcome. A replica drops connections idle for a third of a second and resets
// whatever arrives on them, so a write on such a connection is lost, and it is unknown whether it ran. Requests that
// must not run twice need a new connection after that time; others reuse the idle one.
func TestWriteUsesNoStaleConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := replicatest.New()
			t.Cleanup(f.Close)
			r := f.Add("a", 1, replicatest.OK("a-1", 0, "x"))
			p := newPool(f, r)
			defer p.Close()
			for i, wait := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
				time.Sleep(wait)
				c := call(strconv.Itoa(i))
				c.Deadline, c.Once = time.Now().Add(time.Second), once
				qt.Assert(t, p.Do(t.Context(), c).Kind, qt.Equals, upstream.KindOK)
			}
			want := 1
			if once {
				want = 2
			}
			qt.Assert(t, f.Dials(), qt.Equals, want)
		})
	}
}
