package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaspring.org/entry/internal/admission/queue"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine drives a queue by random operations and checks its invariants after each of them.
type machine struct {
	q        *queue.Queue
	now      time.Time
	limits   queue.Limits
	running  []queue.Grant
	waiting  []*queue.Waiter
	notified map[*queue.Waiter]int
}

func (m *machine) drawLimits(t *rapid.T) queue.Limits {
	return queue.Limits{
		Running:     rapid.IntRange(1, 6).Draw(t, "running"),
		Waiting:     rapid.IntRange(0, 8).Draw(t, "waiting"),
		CallerShare: rapid.Float64Range(0.01, 1).Draw(t, "share"),
	}
}

func (m *machine) arrive(t *rapid.T) {
	free := m.q.Running() < m.limits.Running
	a := m.q.Arrive(m.now, queue.Request{
		Caller:   fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")),
		Key:      fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "budget")) * ms),
	})
	switch a.Verdict {
	case queue.VerdictRun:
		if !free {
			t.Fatal("a request was started without a free permit")
		}
		m.running = append(m.running, a.Grant)
	case queue.VerdictWait:
		m.waiting = append(m.waiting, a.Waiter)
	case queue.VerdictRefuse:
		if a.Refusal.RetryAfter <= 0 {
			t.Fatal("a refusal has no retry delay")
		}
	}
}

func (m *machine) leave(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	g := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.q.Release(m.now, g, rapid.Bool().Draw(t, "complete"))
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	w := m.waiting[rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")]
	m.q.Cancel(m.now, w, queue.ReasonCanceled)
}

// decided is the queue's Notify.
func (m *machine) decided(w *queue.Waiter) {
	m.notified[w]++
	for i, other := range m.waiting {
		if other == w {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			break
		}
	}
	if w.Verdict == queue.VerdictRun {
		m.running = append(m.running, w.Grant)
	}
}

func (m *machine) check(t *rapid.T) {
	if m.q.Running() != len(m.running) || m.q.Waiting() != len(m.waiting) {
		t.Fatalf("counts %d running, %d waiting; want %d, %d", m.q.Running(), m.q.Waiting(), len(m.running), len(m.waiting))
	}
	if m.q.Waiting() > m.limits.Waiting {
		t.Fatalf("%d requests wait, more than the limit of %d", m.q.Waiting(), m.limits.Waiting)
	}
	for _, w := range m.waiting {
		if m.q.Running() < m.limits.Running && !w.Long {
			t.Fatal("a request waits although a permit is free")
		}
	}
	for w, n := range m.notified {
		if n != 1 {
			t.Fatalf("Notify was called %d times for one waiter: %+v", n, w)
		}
	}
}

// Guards against lost permits: a caller cancels, or a limit changes, at the moment at which a permit is granted, and
// the permit counts as taken for good, until the host refuses every request while it runs none. After any sequence of
// operations all permits must be free again.
func TestNoPermitIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: epoch, notified: map[*queue.Waiter]int{}}
		m.limits = m.drawLimits(t)
		m.q = queue.New(m.limits, queue.Options{Notify: m.decided, Float64: func() float64 { return 0.5 }})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"leave":  m.leave,
			"cancel": m.cancel,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms)
			},
			"limits": func(t *rapid.T) {
				m.limits = m.drawLimits(t)
				m.q.SetLimits(m.now, m.limits)
			},
			"": m.check,
		})
		for len(m.running) > 0 {
			g := m.running[0]
			m.running = m.running[1:]
			m.q.Release(m.now, g, true)
		}
		if m.q.Running() != 0 || m.q.Waiting() != 0 {
			t.Fatalf("%d requests run and %d wait after all permits were returned", m.q.Running(), m.q.Waiting())
		}
	})
}
