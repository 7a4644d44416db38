package replica_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/upstream"
	"guavaspring.org/standin/internal/fault"
	"guavaspring.org/standin/internal/replica"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type truth struct {
	ID          string         `json:"id"`
	Queries     int            `json:"queries"`
	Shed        int            `json:"shed"`
	Canceled    int            `json:"canceled"`
	Ran         map[string]int `json:"ran"`
	Crashes     []string       `json:"crashes"`
	AfterDrain  int            `json:"after_drain"`
	Connections struct {
		Peak    int `json:"peak"`
		Refused int `json:"refused"`
	} `json:"connections"`
}

func start(c *qt.C, opts replica.Options) (netip.AddrPort, *upstream.Client) {
	opts.ID, opts.Holdings = "r", []upstream.Holding{{Version: 4, Shard: 2, Shards: 10}}
	if opts.Slots == 0 {
		opts.Slots, opts.Connections = 2, 8
	}
	rep, err := replica.New(loopback, opts)
	c.Assert(err, qt.IsNil)
	srv := rep.HTTP()
	done := make(chan error, 1)
	go func() { done <- srv.Start(context.Background()) }()
	client, err := upstream.New(upstream.Options{MaxConns: 4})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = srv.Stop(ctx)
		<-done
	})
	return rep.Addr(), client
}

func query(client *upstream.Client, addr netip.AddrPort, id, text string) upstream.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body, _ := json.Marshal(upstream.Query{Query: text, Limit: 10})
	return client.Query(ctx, addr, upstream.QueryAttempt{ID: id, Version: 4, Shard: 2, Body: body})
}

func command(c *qt.C, addr netip.AddrPort, faults string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr.String()+"/control/faults", bytes.NewReader([]byte(faults)))
	c.Assert(err, qt.IsNil)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func truthOf(c *qt.C, addr netip.AddrPort) truth {
	t := tryTruth(addr)
	c.Assert(t.ID, qt.Not(qt.Equals), "")
	return t
}

// A client must see each fault as the kind of failure that it simulates, and only on the requests it applies to.
func TestFaultsShowAsTheirKind(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults string
		text   string
		want   upstream.Kind
	}{
		{"none", `{}`, "wool", upstream.KindOK},
		{"shed", `{"shed_share":1}`, "wool", upstream.KindShed},
		{"draining and refusing", `{"draining":true}`, "wool", upstream.KindDraining},
		{"draining and still serving", `{"draining":true,"refuse_after":"1h"}`, "wool", upstream.KindOK},
		{"reset before the effect", `{"reset_before":1}`, "wool", upstream.KindBroken},
		{"reply of another request", `{"foreign":1}`, "wool", upstream.KindForeign},
		{"crash on a marked request", `{"crash_marker":"poison"}`, "poison", upstream.KindBroken},
		{"marker of another request", `{"crash_marker":"poison"}`, "wool", upstream.KindOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			addr, client := start(c, replica.Options{})
			c.Assert(query(client, addr, "first", "felt").Kind, qt.Equals, upstream.KindOK)
			command(c, addr, test.faults)
			res := query(client, addr, "second", test.text)
			c.Assert(res.Kind, qt.Equals, test.want, qt.Commentf("%s", res.Detail))
		})
	}
}

func TestWriteTakesEffectThoughItsReplyIsLost(t *testing.T) {
	// The client sees a broken connection and can't determine whether the write ran. It did, and the counters of the
	// replica must show it.
	c := qt.New(t)
	addr, client := start(c, replica.Options{})
	command(c, addr, `{"lose_replies":1}`)
	body, _ := json.Marshal(upstream.Write{OpID: "op-1"})
	res := client.Write(context.Background(), addr, "w1", body)
	c.Assert(res.Kind, qt.Equals, upstream.KindBroken)
	c.Assert(truthOf(c, addr).Ran, qt.DeepEquals, map[string]int{"op-1": 1})
}

func TestCrashedReplicaRestartsWithNewID(t *testing.T) {
	// A request with the marker crashes the replica. The port opens again immediately and the replica has a new ID.
	c := qt.New(t)
	addr, client := start(c, replica.Options{Faults: fault.Faults{CrashMarker: "poison"}})
	c.Assert(query(client, addr, "q1", "poison").Kind, qt.Equals, upstream.KindBroken)
	for query(client, addr, "q2", "wool").Kind != upstream.KindOK {
	}
	got := truthOf(c, addr)
	c.Assert(got.ID, qt.Equals, "r.1")
	c.Assert(got.Crashes, qt.DeepEquals, []string{"q1"})
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	// With one connection open, the second is closed as soon as it is accepted, and is counted as refused.
	c := qt.New(t)
	addr, _ := start(c, replica.Options{Slots: 1, Connections: 1})
	// With more than one seat, a client may open a second connection and lose its request to the limit.
	client, err := upstream.New(upstream.Options{MaxConns: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(query(client, addr, "q1", "wool").Kind, qt.Equals, upstream.KindOK)
	other, err := upstream.New(upstream.Options{MaxConns: 1})
	c.Assert(err, qt.IsNil)
	// The client may notice the close before or after it sends the request; in both cases the request must not run.
	kind := query(other, addr, "q2", "wool").Kind
	c.Assert(kind == upstream.KindBroken || kind == upstream.KindNotSent, qt.IsTrue, qt.Commentf("%s", kind))
	client.Close()
	for query(other, addr, "q3", "wool").Kind != upstream.KindOK {
	}
	other.Close()
	var got truth
	for got.ID == "" {
		got = tryTruth(addr)
	}
	c.Assert(got.Connections.Peak, qt.Equals, 1)
	c.Assert(got.Queries, qt.Equals, 2)
	c.Assert(got.Connections.Refused >= 1, qt.IsTrue)
}

func tryTruth(addr netip.AddrPort) truth {
	var t truth
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr.String()+"/control/truth", nil)
	if err != nil {
		return t
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return t
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&t)
	return t
}

func TestSilentConnectionsNeverAnswerAndNewOnesDo(t *testing.T) {
	// A request on the silenced connection reaches its deadline, while a request on a new connection gets a reply.
	c := qt.New(t)
	addr, client := start(c, replica.Options{})
	c.Assert(query(client, addr, "q1", "wool").Kind, qt.Equals, upstream.KindOK)
	command(c, addr, `{"silence":true}`)
	c.Assert(untilCanceled(client, addr), qt.Equals, upstream.KindCanceled)
	fresh, err := upstream.New(upstream.Options{MaxConns: 1})
	c.Assert(err, qt.IsNil)
	defer fresh.Close()
	c.Assert(query(fresh, addr, "q3", "wool").Kind, qt.Equals, upstream.KindOK)
}

// untilCanceled sends requests until one gets no reply, as the silence begins shortly after the reply to its command.
func untilCanceled(client *upstream.Client, addr netip.AddrPort) upstream.Kind {
	body, _ := json.Marshal(upstream.Query{Query: "wool", Limit: 1})
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		res := client.Query(ctx, addr, upstream.QueryAttempt{ID: "q2", Version: 4, Shard: 2, Body: body})
		cancel()
		if res.Kind != upstream.KindOK {
			return res.Kind
		}
	}
}

func TestRequestsOverSlotsAndQueueAreShed(t *testing.T) {
	// With one slot and no queue, one of two concurrent requests runs. The other is shed and must not run.
	c := qt.New(t)
	addr, client := start(c, replica.Options{Slots: 1, Connections: 8, ServiceTime: 600 * time.Millisecond})
	kinds := make(chan upstream.Kind, 2)
	for _, id := range []string{"q1", "q2"} {
		go func() { kinds <- query(client, addr, id, "wool").Kind }()
	}
	got := map[upstream.Kind]int{}
	got[<-kinds]++
	got[<-kinds]++
	c.Assert(got, qt.DeepEquals, map[upstream.Kind]int{upstream.KindOK: 1, upstream.KindShed: 1})
	tr := truthOf(c, addr)
	c.Assert([]int{tr.Queries, tr.Shed}, qt.DeepEquals, []int{1, 1})
}
