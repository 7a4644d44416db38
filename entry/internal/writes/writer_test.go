package writes

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/explain"
	"guavaspring.org/entry/internal/replica"
	"guavaspring.org/entry/internal/ticket"
)

type fake struct {
	writer  *Writer
	enabled bool
	ran     int
}

func newFake(records int) *fake {
	f := &fake{enabled: true}
	f.writer = New(Options{
		Clock: clock.System{}, Log: logr.Discard(), Explain: explain.New(4), NewID: func() string { return "x" },
		Book: ticket.NewBook("H1", records),
		Upstream: func(string) (Upstream, bool) {
			return Upstream{Enabled: f.enabled, Enter: enter, Pick: pick, Send: func(context.Context, *replica.Replica, string, []byte) upstream.Result {
				time.Sleep(50 * time.Millisecond)
				f.ran++
				return upstream.Result{Kind: upstream.KindOK, Write: []byte(`{"booked":1}`)}
			}}, true
		},
	})
	return f
}

func (f *fake) write(ctx context.Context, raw, op string) caller.WriteAnswer {
	now := time.Now()
	return f.writer.Write(ctx, Request{ID: "r", Service: "donor-desk", Ticket: raw, Arrived: now, Deadline: now.Add(time.Second), Write: caller.Write{OpID: op}})
}

// A caller loses its connection while its write runs, and resends the write at once. The host must neither cancel the
// write with the first request nor run it twice: the resent one waits and gets the outcome with the result.
func TestResendOfARunningWriteGetsItsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(8)
		raw := ticket.Mint("H1", "donor-desk", time.Now(), time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		qt.Assert(t, f.write(ctx, raw, "a").Outcome, qt.Equals, caller.WriteUnknown)
		got := f.write(t.Context(), raw, "a")
		qt.Assert(t, got.Outcome, qt.Equals, caller.WriteDone)
		qt.Assert(t, string(got.Result), qt.Equals, `{"booked":1}`)
		qt.Assert(t, f.ran, qt.Equals, 1)
		// The same ticket with another body is another write, which must not run.
		qt.Assert(t, f.write(t.Context(), raw, "b").Outcome, qt.Equals, caller.WriteNotRun)
	})
}

// A write is rejected because the document doesn't enable writes or the book is full. A duplicate of the request
// arrives after writes were enabled or the book has room. Since the caller got not_run, the duplicate must not run.
func TestNotRunIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(1)
		f.enabled = false
		short := ticket.Mint("H1", "donor-desk", time.Now(), time.Second)
		long := ticket.Mint("H1", "donor-desk", time.Now(), 10*time.Minute)
		for _, raw := range []string{short, long, short, long} {
			qt.Assert(t, f.write(t.Context(), raw, "a").Outcome, qt.Equals, caller.WriteNotRun)
		}
		f.enabled = true
		time.Sleep(5 * time.Minute)
		qt.Assert(t, f.write(t.Context(), long, "a").Outcome, qt.Equals, caller.WriteNotRun)
		qt.Assert(t, f.ran, qt.Equals, 0)
		fresh := ticket.Mint("H1", "donor-desk", time.Now(), time.Minute)
		qt.Assert(t, f.write(t.Context(), fresh, "a").Outcome, qt.Equals, caller.WriteDone)
	})
}
