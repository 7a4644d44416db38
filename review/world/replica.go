package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request that reached a replica.
type arrival struct {
	at      time.Time
	replica string
	service string
	zone    string
	id      string
	body    string
	tenant  string
	host    string // the address of the machine that sent it
	ran     bool
	crashed bool
}

// replica is a stand-in of one server of a service. It registers itself in the store.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	slots   int
	addr    string
	work    time.Duration

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	up       bool
	inFlight int
	queued   int
	free     chan struct{}
	lifetime int
}

func (w *world) newReplica(id, service, zone string, slots int, work time.Duration) *replica {
	r := &replica{world: w, id: id, service: service, zone: zone, slots: slots, work: work, conns: map[net.Conn]bool{}}
	if err := r.start(); err != nil {
		panic(err)
	}
	w.replicas = append(w.replicas, r)
	return r
}

// start begins a lifetime: the replica listens and registers itself.
func (r *replica) start() error {
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr, r.up = l.Addr().String(), true
	r.lifetime++
	r.free = make(chan struct{}, r.slots)
	r.queued = 0
	lifetime := r.lifetime
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, lifetime) }), IdleTimeout: 30 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
		} else {
			r.conns[c] = true
		}
	}}
	srv := r.server
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	r.register()
	return nil
}

func (r *replica) register() {
	r.mu.Lock()
	spec := fill(file("server.txt"), "SERVICE", r.service, "ADDR", r.addr, "ZONE", r.zone, "SLOTS", strconv.Itoa(r.slots), "BORN", strconv.FormatInt(time.Now().UnixMilli(), 10))
	r.mu.Unlock()
	r.world.store.put("servers", r.id, spec)
}

// crash ends the process: connections are reset, the port refuses. It starts again under its id after down, and its
// entry expires after three intervals of silence if down is longer.
func (r *replica) crash(down time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	srv, conns := r.server, r.conns
	r.conns = map[net.Conn]bool{}
	lifetime := r.lifetime
	r.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = srv.Close()
	r.world.log("replica %s of %s crashed", r.id, r.service)
	time.AfterFunc(3*beat, func() {
		r.mu.Lock()
		gone := !r.up && r.lifetime == lifetime
		r.mu.Unlock()
		if gone {
			r.world.store.remove("servers", r.id)
		}
	})
	time.AfterFunc(down, func() {
		if err := r.start(); err != nil {
			r.world.log("replica %s can't start again: %v", r.id, err)
			return
		}
		r.world.log("replica %s of %s started again", r.id, r.service)
	})
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request, lifetime int) {
	id := q.Header.Get(name("request_id"))
	w.Header().Set("Keep-Alive", "timeout=30")
	if q.URL.Path == "/healthz" {
		w.Header().Set(name("instance"), r.id)
		return
	}
	if target := q.Header.Get(name("target")); target != "" && target != r.id {
		w.Header().Set(name("instance"), r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	a := &arrival{at: time.Now(), replica: r.id, service: r.service, zone: r.zone, id: id, body: string(body), tenant: q.Header.Get("Tenant"), host: host}
	r.world.arrived(a)
	w.Header().Set(name("request_id"), id)
	r.mu.Lock()
	if r.queued >= r.slots*4 {
		r.mu.Unlock()
		w.Header().Set(name("not_run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.queued++
	free := r.free
	r.mu.Unlock()
	defer func() { r.mu.Lock(); r.queued--; r.mu.Unlock() }()
	deadline := 10 * time.Second
	if ms, err := strconv.ParseFloat(q.Header.Get(name("deadline")), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	select {
	case free <- struct{}{}:
	case <-time.After(deadline):
		w.Header().Set(name("not_run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-q.Context().Done():
		return
	}
	defer func() { <-free }()
	r.world.began(a)
	r.world.log("request %s runs at %s %s", id, r.id, a.tenant)
	if r.world.crashes != nil && r.world.crashes(string(body)) {
		r.world.mu.Lock()
		a.crashed = true
		r.world.mu.Unlock()
		r.crash(r.world.downFor)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	w.Header().Set(name("stamp"), fmt.Sprintf("%s.%d.%s", r.id, lifetime, strings.ReplaceAll(id, ",", "")))
	_, _ = io.WriteString(w, "done "+r.id+" "+id)
}
