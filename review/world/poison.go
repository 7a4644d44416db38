package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// poison sends a request again and again that crashes the replica that begins to run it.
func poison(dir string) (int, error) {
	const (
		interval        = 15 * time.Second
		attempts        = 8
		stabilityWindow = 4 * time.Second
		maxRetries      = 3
	)
	w, err := newWorld(dir, settings{zones: []string{"osborne-hall", "picton-shed", "webberton-room"}, hosts: 3})
	if err != nil {
		return failed, err
	}
	defer w.end()
	zones := []string{"osborne-hall", "picton-shed", "webberton-room"}
	for i := range 9 {
		w.newReplica(fmt.Sprintf("i-desk%d", i), "donor-desk", zones[i%3], 6, 20*time.Millisecond)
	}
	w.store.put("config", "main", file("poison-7.json"))
	const bad = "drop-off 4711: ten bags of remnants"
	if w.trouble {
		w.crashes = func(body string) bool { return body == bad }
	}
	w.downFor = 3 * time.Second
	if err := w.startAll(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	answered := map[int]int{}
	usual.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			rep := w.send(w.hosts[n%3], call{method: http.MethodPost, name: "offcut.example", path: "/drop/1", body: fmt.Sprintf("drop-off %d", 10000+n), deadline: 4 * time.Second})
			answered[rep.status]++
		}
	})
	time.Sleep(2 * time.Second)
	type sent struct {
		at time.Time
		id string
	}
	var list []sent
	for n := range attempts {
		h := w.hosts[n%3]
		at := time.Now()
		rep := w.send(h, call{method: http.MethodPost, name: "offcut.example", path: "/drop/4711", body: bad, deadline: 8 * time.Second})
		list = append(list, sent{at, rep.id})
		w.log("the caller sends request %s to %s for the %d. time: status %d, Retry-After %q, error %v, after %v", rep.id, h.name, n+1, rep.status, rep.header.Get("Retry-After"), rep.err, rep.took.Round(time.Millisecond))
		if n < attempts-1 {
			time.Sleep(time.Until(at.Add(interval)))
		}
	}
	close(stop)
	usual.Wait()
	w.mu.Lock()
	var crashes []time.Time
	reached := map[string][]string{}
	for _, a := range w.arrivals {
		if a.body == bad {
			reached[a.id] = append(reached[a.id], a.replica)
			if a.crashed {
				crashes = append(crashes, a.at)
			}
		}
	}
	w.mu.Unlock()
	w.log("other requests by status: %v", answered)
	if len(crashes) < 3 {
		w.log("the request has crashed %d replicas, so that the rule binds nothing", len(crashes))
		return held, nil
	}
	limit := crashes[2].Add(stabilityWindow)
	retries := 0
	for _, s := range list {
		if s.at.After(limit) && len(reached[s.id]) > 0 {
			retries++
			w.log("retry %d: request %s, sent %.1f s after the third crash, reached %v", retries, s.id, s.at.Sub(crashes[2]).Seconds(), reached[s.id])
		}
	}
	w.log("%d retries later than %v after the third crash reached replicas, at most %d may; %d crashes in all", retries, stabilityWindow, maxRetries, len(crashes))
	if retries > maxRetries {
		return broken, nil
	}
	return held, nil
}
