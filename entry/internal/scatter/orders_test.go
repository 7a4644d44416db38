package scatter_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/route"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/entry/internal/scatter"
	"guavaspring.org/platform/platformtest"
)

// orderDepth is the number of arrivals of a request at replicas for which every behavior is played. A request may arrive
// up to five times: at two replicas, and three more times at those that rejected it.
const orderDepth = 4

// script is a sequence of choices. Its prefix is given; further choices take the first option and extend it.
type script struct {
	chosen  []int
	options []int
	next    int
}

// choose returns the next choice among n options, or the first option beyond orderDepth choices.
func (s *script) choose(n int) int {
	if s.next == orderDepth {
		return 0
	}
	if s.next == len(s.chosen) {
		s.chosen = append(s.chosen, 0)
		s.options = append(s.options, n)
	}
	s.next++
	return s.chosen[s.next-1]
}

// advance moves to the following sequence of choices and reports whether there is one.
func (s *script) advance() bool {
	s.next = 0
	for i := len(s.chosen) - 1; i >= 0; i-- {
		if s.chosen[i]+1 < s.options[i] {
			s.chosen[i]++
			s.chosen, s.options = s.chosen[:i+1], s.options[:i+1]
			return true
		}
	}
	return false
}

// behavior is how a replica treats one arrival of the request.
type behavior struct {
	name   string
	answer func(id string) replicatest.Answer
}

const runTime = 20 * time.Millisecond

func ownReply(id string) []byte {
	return platformtest.Reply(http.StatusOK, id, "s."+id, []byte("body of "+id))
}

// behaviors lists what a replica may do; the first one ends every sequence.
var behaviors = []behavior{
	{"runs", func(id string) replicatest.Answer { return replicatest.Answer{After: runTime, Raw: ownReply(id)} }},
	{"runs, replies again with the next", func(id string) replicatest.Answer {
		return replicatest.Answer{After: runTime, Raw: ownReply(id), Late: ownReply(id), LateNext: true}
	}},
	{"runs, fails", func(id string) replicatest.Answer {
		return replicatest.Answer{After: runTime, Raw: platformtest.Reply(http.StatusInternalServerError, id, "s."+id, nil)}
	}},
	{"runs, closes the connection", func(string) replicatest.Answer { return replicatest.Answer{After: runTime} }},
	{"rejects", func(id string) replicatest.Answer {
		return replicatest.Answer{NotRun: true, Raw: platformtest.NotRun(id)}
	}},
	{"rejects, replies again with the next", func(id string) replicatest.Answer {
		return replicatest.Answer{NotRun: true, Raw: platformtest.NotRun(id), Late: platformtest.NotRun(id), LateNext: true}
	}},
	{"rejects, replies again at once", func(id string) replicatest.Answer {
		return replicatest.Answer{NotRun: true, Raw: platformtest.NotRun(id), Late: platformtest.NotRun(id), LateAfter: time.Millisecond}
	}},
	{"rejects, replies again without an id", func(id string) replicatest.Answer {
		return replicatest.Answer{NotRun: true, Raw: platformtest.NotRun(id), Late: platformtest.NotRun(""), LateNext: true}
	}},
}

// scenario is one request at a host with two replicas, and what happens beside it.
type scenario struct {
	idempotent bool
	// fewConns limits the host to two connections to each replica.
	fewConns bool
	// others sends other requests to the same replicas all the while.
	others bool
	// leaves makes the client leave after clientTimeout.
	leaves bool
}

const clientTimeout = 45 * time.Millisecond

func (l scenario) String() string {
	return fmt.Sprintf("idempotent %v, few connections %v, others %v, client leaves %v", l.idempotent, l.fewConns, l.others, l.leaves)
}

// play plays one sequence of behaviors, and returns the promises that were broken and what the replicas did.
func (l scenario) play(t *testing.T, s *script) (broken, played []string) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestHost(t, 1000)
		var mu sync.Mutex
		runs := map[string]int{}
		handle := func(req *http.Request, _ []byte) replicatest.Answer {
			mu.Lock()
			defer mu.Unlock()
			id := platformtest.ReadRequestHeader(req).ID
			how := behaviors[0]
			if id == "subject" {
				how = behaviors[s.choose(len(behaviors))]
				played = append(played, how.name)
			}
			a := how.answer(id)
			if !a.NotRun {
				runs[id]++
			}
			return a
		}
		for n := range 2 {
			b.farm.Add("s0", n, handle)
		}
		b.seedLatency()
		if l.fewConns {
			b.table.SetLimits(map[string]route.Service{"s0": {MaxConns: 1}})
		}
		rt := singleServiceRoute(l.idempotent)
		reports := map[string]*scatter.Report{}
		var asks sync.WaitGroup
		ask := func(id string, stay time.Duration) {
			asks.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), stay)
				defer cancel()
				rep := b.askAs(ctx, rt, id)
				mu.Lock()
				defer mu.Unlock()
				reports[id] = &rep
			})
		}
		stay := rt.Timeout
		if l.leaves {
			stay = clientTimeout
		}
		if l.others {
			ask("before", rt.Timeout)
			time.Sleep(runTime + time.Millisecond)
		}
		ask("subject", stay)
		for n := range 4 {
			time.Sleep(13 * time.Millisecond)
			if l.others {
				ask(fmt.Sprintf("other %d", n), rt.Timeout)
			}
		}
		asks.Wait()
		time.Sleep(3 * time.Second)
		for id, rep := range reports {
			broken = append(broken, brokenPromises(id, rep, runs[id], l.idempotent)...)
		}
	})
	return broken, played
}

func (b *testHost) askAs(ctx context.Context, rt *route.Route, id string) scatter.Report {
	now := time.Now()
	return b.runner.Run(ctx, scatter.Query{
		Request: &opaque.Request{ID: id, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}},
		Route:   rt, Learned: b.learned, Arrived: now, Deadline: now.Add(rt.Timeout), Fingerprint: id,
		Shards: []*endpoints.Service{b.table.Service("s0")},
	})
}

// brokenPromises compares the report of a request with how often it ran.
func brokenPromises(id string, rep *scatter.Report, runs int, idempotent bool) (broken []string) {
	if !idempotent && runs > 1 {
		broken = append(broken, fmt.Sprintf("%q ran %d times", id, runs))
	}
	if !rep.Ran && runs > 0 {
		broken = append(broken, fmt.Sprintf("%q ran and is reported as not run", id))
	}
	if res := rep.Results[0]; res.Kind == upstream.KindOK && string(res.Body) != "body of "+id {
		broken = append(broken, fmt.Sprintf("%q is answered with %q", id, res.Body))
	}
	return broken
}

// Guards against replies that are taken for those to another attempt, in any order of what replicas do with the arrivals
// of a request: a request must not be reported as not run if it ran, and one that is not idempotent runs at most once.
func TestEveryOrderOfReplies(t *testing.T) {
	orders := 0
	for n := range 1 << 4 {
		set := func(bit int) bool { return n>>bit&1 == 1 }
		l := scenario{idempotent: set(0), fewConns: set(1), others: set(2), leaves: set(3)}
		s := &script{}
		for more := true; more; more = s.advance() {
			broken, played := l.play(t, s)
			qt.Check(t, broken, qt.HasLen, 0, qt.Commentf("%s: %s", l, strings.Join(played, "; ")))
			orders++
		}
	}
	t.Logf("%d orders", orders)
}
