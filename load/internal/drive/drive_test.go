package drive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/document"
	"guavaspring.org/load/internal/drive"
	"guavaspring.org/load/internal/scene"
	"guavaspring.org/load/internal/truth"
)

// fakeHost answers as a host does, after corrupt has modified the answer.
type fakeHost struct {
	addr    netip.AddrPort
	corrupt func(ans *caller.Answer)
	write   caller.WriteOutcome
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/addresses":
		_ = json.NewEncoder(w).Encode(caller.Addresses{KeepMS: 60000, Addresses: []caller.Address{{Address: h.addr, Weight: 1, Tickets: []string{"t1", "t2", "t3", "t4"}}}})
	case strings.HasSuffix(r.URL.Path, "/write"):
		_ = json.NewEncoder(w).Encode(caller.WriteAnswer{Outcome: h.write})
	default:
		var q caller.Query
		_ = json.NewDecoder(r.Body).Decode(&q)
		ans := trueAnswer(r.Header.Get(caller.HeaderRequest), q.Query)
		h.corrupt(&ans)
		_ = json.NewEncoder(w).Encode(ans)
	}
}

func trueAnswer(id, query string) caller.Answer {
	ans := caller.Answer{
		RequestID: id, Service: "s", Outcome: caller.OutcomeComplete, Snapshot: caller.Snapshot{Version: 7, Shards: 1},
		Coverage: caller.Coverage{Answered: 1, Shards: 1, Share: 1},
	}
	for n := range 3 {
		data, _ := json.Marshal(map[string]any{"query": query, "version": 7, "shards": 1})
		ans.Hits = append(ans.Hits, caller.Hit{ID: fmt.Sprintf("v7-s0-%d", n), Data: data})
	}
	return ans
}

func serve(c *qt.C, h http.Handler) netip.AddrPort {
	srv := httptest.NewServer(h)
	c.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func TestRunTellsAHostThatLies(t *testing.T) {
	// Guards against a false claim that goes undetected: each host corrupts its answers in one way, or reports a write
	// as not run that the upstream's record contains. A correct host must yield no findings.
	for _, test := range []struct {
		name    string
		corrupt func(ans *caller.Answer)
		write   caller.WriteOutcome
		ran     int
		want    string
	}{
		{"true", func(*caller.Answer) {}, caller.WriteDone, 1, ""},
		{"mixes snapshots", func(ans *caller.Answer) { ans.Snapshot.Version = 8 }, caller.WriteDone, 1, "mixed_snapshots"},
		{"hides a shard", func(ans *caller.Answer) { ans.Hits = nil }, caller.WriteDone, 1, "false_coverage"},
		{"gives another's answer", func(ans *caller.Answer) { *ans = trueAnswer(ans.RequestID, "another query") }, caller.WriteDone, 1, "foreign_answer"},
		{"runs writes twice", func(*caller.Answer) {}, caller.WriteDone, 2, "ran_twice"},
		{"denies writes", func(*caller.Answer) {}, caller.WriteNotRun, 1, "false_not_run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sum := runAgainst(c, &fakeHost{corrupt: test.corrupt, write: test.write}, test.ran)
			c.Assert(sum.Offered > 0, qt.IsTrue)
			if test.want == "" {
				c.Assert(sum.Violations, qt.HasLen, 0)
				return
			}
			c.Assert(sum.Violations, qt.Not(qt.HasLen), 0)
			c.Assert(sum.Violations[0], qt.Contains, test.want)
		})
	}
}

type summary struct {
	Offered    int
	Violations []string
}

// runAgainst runs a short scene against the host; the upstream's record contains each write the given number of times.
func runAgainst(c *qt.C, h *fakeHost, ran int) summary {
	srv := httptest.NewUnstartedServer(h)
	h.addr = netip.MustParseAddrPort(srv.Listener.Addr().String())
	srv.Start()
	c.Cleanup(srv.Close)
	record := serve(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]int{}
		for n := range 100 {
			all[fmt.Sprintf("run-w%d", n)] = ran
		}
		_ = json.NewEncoder(w).Encode(truth.Replica{ID: "r", Ran: all})
	}))
	fleet, err := truth.Parse(fmt.Sprintf("s=%s+1", record))
	c.Assert(err, qt.IsNil)
	d, err := drive.New(drive.Options{
		Seed: 1, Run: "run", Hosts: []netip.AddrPort{h.addr}, Fleets: []*truth.Fleet{fleet},
		Scene: scene.Scene{
			Name: "short", Service: "s", Rate: 100, Callers: 2, Limit: 10, Duration: document.Duration(200 * time.Millisecond),
			Deadline: document.Duration(10 * time.Second), Writes: scene.Writes{Service: "s", Rate: 50},
		},
	})
	c.Assert(err, qt.IsNil)
	sum := d.Run(context.Background())
	return summary{Offered: sum.Offered, Violations: sum.Violations}
}
