package queue_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"guavaspring.org/entry/internal/admission/adapt"
	"guavaspring.org/entry/internal/admission/queue"
)

// call is one simulated request and its outcome.
type call struct {
	at      time.Duration
	caller  string
	key     string
	work    time.Duration
	budget  time.Duration
	outcome string
	took    time.Duration
	retry   time.Duration

	grant   queue.Grant
	running bool
	ended   bool
	sent    time.Time
	// retries reports whether the caller retries a refused call after the retry delay.
	retries bool
}

// model simulates calls to one host and one upstream with a number of slots, in virtual time.
type model struct {
	now      time.Time
	events   eventHeap
	seq      int
	slots    int
	slowdown func(now time.Duration) float64
	queued   []*call
	policy   policy
	// retried holds the retries of refused calls.
	retried []*call
}

// policy is the admission policy between the calls and the upstream.
type policy struct {
	enter  func(m *model, c *call)
	expire func(m *model, c *call)
	leave  func(m *model, c *call, complete bool)
}

type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

var epoch = time.Unix(1_000_000, 0)

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, timedEvent{at: m.now.Add(d), seq: m.seq, run: run})
}

// simulate simulates the calls until all have ended and returns them together with their retries.
func simulate(slow func(time.Duration) float64, p policy, calls []*call) []*call {
	m := &model{now: epoch, slots: slots, slowdown: slow, policy: p}
	if m.slowdown == nil {
		m.slowdown = func(time.Duration) float64 { return 1 }
	}
	for _, c := range calls {
		m.after(c.at, func() { m.arrive(c) })
	}
	for len(m.events) > 0 {
		ev := heap.Pop(&m.events).(timedEvent)
		m.now = ev.at
		ev.run()
	}
	return append(calls, m.retried...)
}

func (m *model) arrive(c *call) {
	m.after(c.budget, func() { m.deadline(c) })
	m.policy.enter(m, c)
}

func (m *model) deadline(c *call) {
	switch {
	case c.ended:
	case c.grant != (queue.Grant{}) || c.running:
		m.end(c, "late")
	default:
		m.policy.expire(m, c)
	}
}

// run sends the call upstream, where it takes a slot or waits for one.
func (m *model) run(c *call) {
	c.running, c.sent = true, m.now
	m.queued = append(m.queued, c)
	m.fill()
}

func (m *model) fill() {
	for m.slots > 0 && len(m.queued) > 0 {
		c := m.queued[0]
		m.queued = m.queued[1:]
		if c.ended {
			continue
		}
		m.slots--
		work := time.Duration(float64(c.work) * m.slowdown(m.now.Sub(epoch)))
		m.after(work, func() {
			if !c.ended {
				m.end(c, "good")
			}
		})
		c.outcome = "in a slot"
	}
}

// end ends a running call. The upstream supports cancellation, so the slot is free at once.
func (m *model) end(c *call, outcome string) {
	inSlot := c.outcome == "in a slot"
	c.ended, c.outcome, c.took = true, outcome, m.now.Sub(epoch)-c.at
	if inSlot {
		m.slots++
	}
	m.policy.leave(m, c, outcome == "good")
	m.fill()
}

func (m *model) refuse(c *call, retry time.Duration) {
	c.ended, c.outcome, c.took, c.retry = true, "refused", m.now.Sub(epoch)-c.at, retry
	if !c.retries {
		return
	}
	retryCall := &call{at: m.now.Sub(epoch) + retry, caller: c.caller, key: c.key, work: c.work, budget: c.budget, retries: true}
	m.retried = append(m.retried, retryCall)
	m.after(retry, func() { m.arrive(retryCall) })
}

// admit is the policy under test.
func admit(limits queue.Limits) policy { return admitUnder(limits, nil) }

// admitUnder is the policy under test with an adaptive limit, which may be nil.
func admitUnder(limits queue.Limits, limit *adapt.Limit) policy {
	if limit != nil {
		limits.Running = limit.Current()
	}

	byWaiter := map[*queue.Waiter]*call{}
	var m *model
	rng := rand.New(rand.NewPCG(seed, 1))
	q := queue.New(limits, queue.Options{Float64: rng.Float64, Notify: func(w *queue.Waiter) {
		c := byWaiter[w]
		delete(byWaiter, w)
		if w.Verdict == queue.VerdictRun {
			c.grant = w.Grant
			m.run(c)
			return
		}
		m.refuse(c, w.Refusal.RetryAfter)
	}})
	return policy{
		enter: func(model *model, c *call) {
			m = model
			a := q.Arrive(m.now, queue.Request{Caller: c.caller, Key: c.key, Deadline: m.now.Add(c.budget)})
			switch a.Verdict {
			case queue.VerdictRun:
				c.grant = a.Grant
				m.run(c)
			case queue.VerdictRefuse:
				m.refuse(c, a.Refusal.RetryAfter)
			case queue.VerdictWait:
				byWaiter[a.Waiter] = c
				m.after(a.Waiter.LatestStart.Sub(m.now), func() {
					if a.Waiter.Verdict == queue.VerdictWait {
						q.Cancel(m.now, a.Waiter, queue.ReasonLate)
					}
				})
			}
		},
		expire: func(*model, *call) { panic("a waiting call reached its deadline unanswered") },
		leave: func(m *model, c *call, complete bool) {
			if limit != nil && limit.RecordReply(m.now, m.now.Sub(c.sent), q.Running()) {
				limits.Running = limit.Current()
				q.SetLimits(m.now, limits)
			}
			q.Release(m.now, c.grant, complete)
		},
	}
}

// fifo is the baseline: a FIFO queue in which calls wait until their deadline, with at most running calls at once.
func fifo(running, waiting int) policy {
	n, line := 0, []*call(nil)
	remove := func(c *call) { line = slices.DeleteFunc(line, func(other *call) bool { return other == c }) }
	return policy{
		enter: func(m *model, c *call) {
			switch {
			case n < running:
				n++
				m.run(c)
			case len(line) < waiting:
				line = append(line, c)
			default:
				m.refuse(c, 50*time.Millisecond)
			}
		},
		expire: func(m *model, c *call) { remove(c); m.refuse(c, 50*time.Millisecond) },
		leave: func(m *model, _ *call, _ bool) {
			n--
			if len(line) > 0 {
				c := line[0]
				line = line[1:]
				n++
				m.run(c)
			}
		},
	}
}

// callerLoad is one caller's open-loop arrivals.
type callerLoad struct {
	caller string
	keys   []string
	// rate is in calls per second, from and until bound the arrivals.
	rate        float64
	from, until time.Duration
	// work is the mean of the log-normal service time, budget the time from arrival to the deadline.
	work, budget time.Duration
}

// sigma is the standard deviation of the logarithm of the service time.
const sigma = 0.5

// calls draws the arrivals of all loads and orders them by time.
func calls(loads ...callerLoad) []*call {
	rng := rand.New(rand.NewPCG(seed, 2))
	var list []*call
	for _, l := range loads {
		for at := l.from; ; {
			at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
			if at >= l.until {
				break
			}
			key := ""
			if len(l.keys) > 0 {
				key = l.keys[rng.IntN(len(l.keys))]
			}
			work := time.Duration(float64(l.work) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
			list = append(list, &call{at: at, caller: l.caller, key: key, work: work, budget: l.budget})
		}
	}
	slices.SortStableFunc(list, func(a, b *call) int { return int(a.at - b.at) })
	return list
}

// outcomes summarizes a set of calls.
type outcomes struct {
	offered, good, late, refused int
	// p50 and p99 are the latencies of good calls, refusalP99 is that of refusals.
	p50, p99, refusalP99 time.Duration
}

// sum sums up the outcomes of the calls for which keep returns true.
func sum(list []*call, keep func(c *call) bool) outcomes {
	var g outcomes
	var took, refusals []time.Duration
	for _, c := range list {
		if !keep(c) {
			continue
		}
		g.offered++
		switch c.outcome {
		case "good":
			g.good++
			took = append(took, c.took)
		case "late":
			g.late++
		case "refused":
			g.refused++
			refusals = append(refusals, c.took)
		default:
			panic("a call was never answered: " + c.outcome)
		}
	}
	slices.Sort(took)
	slices.Sort(refusals)
	if len(took) > 0 {
		g.p50, g.p99 = took[len(took)/2], took[len(took)*99/100]
	}
	if len(refusals) > 0 {
		g.refusalP99 = refusals[len(refusals)*99/100]
	}
	return g
}

func all(*call) bool { return true }

func of(caller string) func(c *call) bool {
	return func(c *call) bool { return c.caller == caller }
}

func notOf(caller string) func(c *call) bool {
	return func(c *call) bool { return c.caller != caller }
}
