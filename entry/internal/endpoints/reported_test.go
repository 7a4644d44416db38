package endpoints_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/opaque"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/platform/platformtest"
)

// onSharedMachine returns the handler of a replica whose machine is four times slower for half a second in every five,
// starting at an offset in milliseconds, and that reports the load header returned by said.
func onSharedMachine(name string, offset int64, said func(slow bool) string) func(*http.Request, []byte) replicatest.Answer {
	return func(req *http.Request, body []byte) replicatest.Answer {
		slow := (time.Now().UnixMilli()+offset)%5000 < 500
		work := 10 * time.Millisecond
		if slow {
			work *= 4
		}
		a := replicatest.OK(name, work, "x")(req, body)
		a.Raw = platformtest.WithLoad(a.Raw, said(slow))
		return a
	}
}

// Guards against requests sent to a replica while its shared machine is slow. A host sends nine requests a second to a
// service whose replicas are four times slower for half a second in every five, so that a choice without reports gets
// one late reply in ten. With accurate reports at most a third of those may be late; with missing or wrong reports no
// more than without them.
func TestReportedLoadReducesLateReplies(t *testing.T) {
	const requests = 600
	accurate := func(slow bool) string {
		if slow {
			return "1,0,4,400"
		}
		return "1,0,4,100"
	}
	tests := []struct {
		name string
		said func(bool) string
		late int
	}{
		{"the truth", accurate, requests / 30},
		{"no pace", func(bool) string { return "1,0,4" }, requests / 10},
		{"always quick", func(bool) string { return "1,0,4,100" }, requests / 10},
		{"always slow", func(bool) string { return "1,0,4,400" }, requests / 10},
		{"nonsense", func(bool) string { return "x,,-1,4" }, requests / 10},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := replicatest.New()
			f.Add("s", 1, onSharedMachine("s-1", 0, test.said)).Row.Zone = "a"
			f.Add("s", 2, onSharedMachine("s-2", 2500, test.said)).Row.Zone = "b"
			table := newTable(f)
			table.Replace(f.Batch(), false)
			s := table.Service("s")
			need := endpoints.Need{Need: pick.Need{Usual: 10 * time.Millisecond, Within: 100 * time.Millisecond}}
			late := 0
			for n := range requests {
				c, verdict := s.Pick(time.Now(), need, func() float64 { return 0.5 })
				qt.Assert(t, verdict, qt.Equals, endpoints.Found)
				req := &opaque.Request{ID: fmt.Sprintf("q%d", n), Method: "GET", Target: "/", Path: "/", Host: "h"}
				res := c.Replica.Send(t.Context(), endpoints.Call{Request: req, Deadline: time.Now().Add(time.Second), Connections: 9, Usual: need.Usual})
				if res.Took > 20*time.Millisecond {
					late++
				}
				time.Sleep(110 * time.Millisecond)
			}
			qt.Check(t, late <= test.late, qt.IsTrue, qt.Commentf("%s: %d of %d late", test.name, late, requests))
			f.Close()
		})
	}
}
