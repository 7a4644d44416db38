package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// quotaBounds adds the bounds of demands/clipworks-uio-grown.toml for limits of tenants.
func quotaBounds() map[string]any {
	b := smallBounds()
	for k, v := range map[string]any{"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20, "strictRevoke": false, "revokeMs": 5000} {
		b[k] = v
	}
	return b
}

// quota freezes each machine once for some seconds, and lets a tenant send many times its usual once the machine has woken.
func quota(dir string) (int, error) {
	const (
		window  = 5 * time.Second
		excess  = 0.1
		slack   = 20
		tenants = 9
		nhosts  = 3
		rate    = 100
		burst   = 20
		usual   = 60
		few     = 2
		// hot is seven and a half times the usual, the largest that hot_tenant has in the site file.
		hot    = 450
		freeze = 4 * time.Second
		pause  = 300 * time.Millisecond
	)
	zones := []string{"sierra-a", "sierra-b", "sierra-c"}
	w, err := newWorld(dir, settings{bounds: quotaBounds(), contracts: baseContracts + `,"tenants","quota"`, zones: zones, hosts: nhosts})
	if err != nil {
		return failed, err
	}
	defer w.end()
	for i := range 12 {
		w.newReplica(fmt.Sprintf("i-vault%d", i), "vault", zones[i%3], 6, 5*time.Millisecond)
	}
	var list []any
	for i := range tenants {
		list = append(list, map[string]any{"name": fmt.Sprintf("club%d", i), "apiKeys": []string{fmt.Sprintf("key%dabcdefgh", i)}, "ratePerS": rate, "burst": burst})
	}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-pull", "host": "clips.example", "pathPrefix": "/pull/", "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 1000, "priority": 1, "service": "vault", "attempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": "vault", "healthPath": "/healthz", "maxConns": 540, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  list,
	})
	if err := w.startAll(); err != nil {
		return failed, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	status := map[string]int{}
	one := func(tenant, host int) {
		all.Go(func() {
			rep := w.send(w.hosts[host], call{method: http.MethodGet, name: "clips.example", path: "/pull/1", key: fmt.Sprintf("key%dabcdefgh", tenant), deadline: time.Second})
			mu.Lock()
			status[fmt.Sprintf("club%d:%d", tenant, rep.status)]++
			mu.Unlock()
		})
	}
	// load sends others requests a second of each tenant but the first, and first of that one, at the hosts in turn.
	load := func(first, others int, d time.Duration) {
		began := time.Now()
		sent := make([]int, tenants)
		for time.Since(began) < d {
			for t := range tenants {
				perSecond := others
				if t == 0 {
					perSecond = first
				}
				for due := int(time.Since(began).Seconds() * float64(perSecond)); sent[t] < due; sent[t]++ {
					one(t, (sent[t]+t)%nhosts)
				}
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	load(usual, few, 12*time.Second)
	// Any of the machines may be the one that counts the tenant's requests, so that each freezes once.
	for n, victim := range w.hosts {
		load(usual, few, 10*time.Second)
		if w.trouble {
			_ = victim.cmd.Process.Signal(syscall.SIGSTOP)
			w.log("%s freezes", victim.name)
		}
		load(usual, few, freeze)
		if w.trouble {
			_ = victim.cmd.Process.Signal(syscall.SIGCONT)
			w.log("%s wakes", victim.name)
		}
		load(usual, few, pause)
		w.log("club0 sends many times its usual for the %d. time", n+1)
		load(hot, few, 4*time.Second)
		w.log("club0 is back at its usual")
	}
	load(usual, few, time.Second)
	all.Wait()
	mu.Lock()
	w.log("answers by status: %v", status)
	mu.Unlock()
	limit := float64(rate*5+burst)*(1+excess) + slack
	code := held
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
	sentAt := w.sentAt
	w.mu.Unlock()
	for t := range tenants {
		name := fmt.Sprintf("club%d", t)
		// ran holds the requests of the tenant that ran, in the order in which they were sent.
		type request struct{ sent, ran time.Time }
		var ran []request
		for id, at := range first[name] {
			ran = append(ran, request{sentAt[id], at})
		}
		sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
		most, over, at := 0, 0, w.start
		for i := range ran {
			from, n := ran[i].sent, 0
			for _, r := range ran[i:] {
				if r.sent.Sub(from) > window {
					break
				}
				if r.ran.Sub(from) <= window {
					n++
				}
			}
			if float64(n) > limit {
				over++
			}
			if n > most {
				most, at = n, from
			}
		}
		verdict := "held"
		if float64(most) > limit {
			verdict, code = "BROKEN", broken
		}
		w.log("%s: %d requests were sent and ran in %v from %.3f on; allowed %.0f: %s; %d such spans are over it", name, most, window, at.Sub(w.start).Seconds(), limit, verdict, over)
	}
	return code, nil
}
