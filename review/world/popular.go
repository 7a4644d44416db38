package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// popular lets the servers of one zone crash at one moment, while clients ask again and again for the same page on a route
// that was added, and for other pages of the same service on the first route.
func popular(dir string) (int, error) {
	const (
		downFor = 3 * time.Second
		// steadyAfter is the time after the servers are back from which the state counts as steady; the stability window is 4 s.
		steadyAfter = 5 * time.Second
		judgedFor   = 30 * time.Second
		minRequests = 20
	)
	zones := []string{"leeds-hall", "derby-hall", "bristol-hall"}
	w, err := newWorld(dir, settings{zones: zones, hosts: 3})
	if err != nil {
		return failed, err
	}
	defer w.end()
	for i := range 20 {
		w.newReplica(fmt.Sprintf("i-desk%d", i), "ticket-desk", zones[i%3], 4, 220*time.Millisecond)
	}
	w.store.put("config", "main", file("popular-7.json"))
	if err := w.startAll(); err != nil {
		return failed, err
	}
	w.store.put("config", "main", file("popular-9.json"))
	w.log("version 9 adds the route /board/")
	time.Sleep(4 * time.Second)
	type outcome struct {
		at     time.Time
		added  bool
		status int
		after  string
	}
	var mu sync.Mutex
	var list []outcome
	var all sync.WaitGroup
	stop := make(chan struct{})
	ask := func(perSecond int, added bool, path func(n int) string) {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / time.Duration(perSecond)):
				}
				all.Go(func() {
					at := time.Now()
					rep := w.send(w.hosts[n%3], call{method: http.MethodGet, name: "qw.example", path: path(n), deadline: 5 * time.Second})
					mu.Lock()
					list = append(list, outcome{at, added, rep.status, rep.header.Get("Retry-After")})
					mu.Unlock()
				})
			}
		})
	}
	ask(45, true, func(int) string { return "/board/leeds" })
	ask(15, false, func(n int) string { return fmt.Sprintf("/ticket/%d", n) })
	time.Sleep(10 * time.Second)
	if w.trouble {
		for _, r := range w.replicas {
			if r.zone == zones[0] {
				go r.crash(downFor)
			}
		}
	}
	from := time.Now().Add(downFor + steadyAfter)
	time.Sleep(time.Until(from.Add(judgedFor)))
	to := time.Now()
	close(stop)
	all.Wait()
	count := func(from, to time.Time, added bool) (n, served int, by map[int]int) {
		by = map[int]int{}
		for _, o := range list {
			if o.added == added && !o.at.Before(from) && o.at.Before(to) {
				n++
				by[o.status]++
				if o.status == http.StatusOK {
					served++
				}
			}
		}
		return n, served, by
	}
	for at := w.start.Add(4 * time.Second); at.Before(to); at = at.Add(2 * time.Second) {
		_, _, added := count(at, at.Add(2*time.Second), true)
		_, _, first := count(at, at.Add(2*time.Second), false)
		w.log("sent from %.0f s on: added route %v, first route %v", at.Sub(w.start).Seconds(), added, first)
	}
	for _, o := range list {
		if o.status == http.StatusServiceUnavailable && !o.at.Before(from) {
			w.log("the first refusal in steady state: at %.3f s, Retry-After %s", o.at.Sub(w.start).Seconds(), o.after)
			break
		}
	}
	n1, s1, _ := count(from, to, true)
	n0, s0, _ := count(from, to, false)
	w.log("in steady state, from %.1f s on: %d of %d requests on the added route were served, and %d of %d on the first one", from.Sub(w.start).Seconds(), s1, n1, s0, n0)
	if n0 == 0 || n1 < minRequests {
		return failed, fmt.Errorf("too few requests")
	}
	if 4*float64(s1)/float64(n1) < float64(s0)/float64(n0) {
		return broken, nil
	}
	return held, nil
}
