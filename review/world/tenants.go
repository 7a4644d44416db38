package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// tenants is an installation whose tenants have limits, and the load that they send.
type tenants struct {
	world *world
	count int
	// limit is the number of requests of a tenant that may be sent and run in any window.
	limit  float64
	window time.Duration

	all    sync.WaitGroup
	mu     sync.Mutex
	status map[string]int
}

// newTenants starts an installation with a manifest of wire, whose tenants have the limit of rate and burst.
func newTenants(dir, manifest string, hosts, count int, rate, burst float64) (*tenants, error) {
	const (
		window = 5 * time.Second
		excess = 0.1
		slack  = 20
	)
	zones := []string{"sierra-a", "sierra-b", "sierra-c"}
	w, err := newWorld(dir, settings{bounds: file("quota.toml"), zones: zones, hosts: hosts})
	if err != nil {
		return nil, err
	}
	for i := range 12 {
		w.newReplica(fmt.Sprintf("i-vault%d", i), "vault", zones[i%3], 6, 5*time.Millisecond)
	}
	w.store.put("config", "main", file(manifest))
	t := &tenants{world: w, count: count, limit: (rate*window.Seconds()+burst)*(1+excess) + slack, window: window, status: map[string]int{}}
	if err := w.startAll(); err != nil {
		w.end()
		return nil, err
	}
	return t, nil
}

// send sends one request of a tenant to a host.
func (t *tenants) send(tenant, host int) {
	t.all.Go(func() {
		rep := t.world.send(t.world.hosts[host], call{method: http.MethodGet, name: "clips.example", path: "/pull/1", key: fmt.Sprintf("key%dabcdefgh", tenant), deadline: time.Second})
		t.mu.Lock()
		defer t.mu.Unlock()
		t.status[fmt.Sprintf("club%d:%d", tenant, rep.status)]++
	})
}

// load sends others requests a second of each tenant but the first, and first of that one, at the hosts in turn.
func (t *tenants) load(first, others int, d time.Duration) {
	began := time.Now()
	sent := make([]int, t.count)
	for time.Since(began) < d {
		for n := range t.count {
			perSecond := others
			if n == 0 {
				perSecond = first
			}
			for due := int(time.Since(began).Seconds() * float64(perSecond)); sent[n] < due; sent[n]++ {
				t.send(n, (sent[n]+n)%len(t.world.hosts))
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// judge waits for all answers and reports whether a tenant ran more requests in a window than it may.
func (t *tenants) judge() int {
	t.all.Wait()
	w := t.world
	w.log("answers by status: %v", t.status)
	w.mu.Lock()
	// first holds when each request that ran began to run for the first time.
	first := map[string]map[string]time.Time{}
	for _, a := range w.arrivals {
		if first[a.tenant] == nil {
			first[a.tenant] = map[string]time.Time{}
		}
		if _, known := first[a.tenant][a.id]; a.ran && !known {
			first[a.tenant][a.id] = a.at
		}
	}
	w.mu.Unlock()
	code := held
	for n := range t.count {
		name := fmt.Sprintf("club%d", n)
		most, over, at := t.most(first[name])
		verdict := "held"
		if float64(most) > t.limit {
			verdict, code = "BROKEN", broken
		}
		w.log("%s: %d requests were sent and ran in %v from %.3f on; allowed %.1f: %s; %d such spans are over it", name, most, t.window, at.Sub(w.start).Seconds(), t.limit, verdict, over)
	}
	return code
}

// most returns the largest number of requests that were sent and ran in one window, its beginning, and the number of windows
// over the limit.
func (t *tenants) most(first map[string]time.Time) (most, over int, at time.Time) {
	type request struct{ sent, ran time.Time }
	// ran holds the requests in the order in which they were sent.
	var ran []request
	for id, when := range first {
		ran = append(ran, request{t.world.sentAt[id], when})
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
	at = t.world.start
	for i := range ran {
		from, n := ran[i].sent, 0
		for _, r := range ran[i:] {
			if r.sent.Sub(from) > t.window {
				break
			}
			if r.ran.Sub(from) <= t.window {
				n++
			}
		}
		if float64(n) > t.limit {
			over++
		}
		if n > most {
			most, at = n, from
		}
	}
	return most, over, at
}
