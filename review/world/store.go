package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps its whole history, and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object
	history []change
	changed chan struct{}
	server  *http.Server
	addr    string
}

type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	CreateRev  int64    `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	rev     int64
	kind    string
	object  object
	deleted bool
}

func newStore() (*store, error) {
	s := &store{rev: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object as the operator or a server would, and returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, b, nil).Meta.Rev
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Meta: meta{Name: name, Finalizers: []string{}}, Spec: json.RawMessage("{}"), Status: json.RawMessage("null")}
		s.objects[kind][name] = o
		o.Meta.CreateRev = s.rev + 1
	} else if (spec == nil || string(spec) == string(o.Spec)) && (status == nil || string(status) == string(o.Status)) {
		return *o
	}
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	s.rev++
	o.Meta.Rev = s.rev
	s.record(change{rev: s.rev, kind: kind, object: *o})
	return *o
}

func (s *store) delete(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.rev++
	gone := *o
	gone.Meta.Rev = s.rev
	s.record(change{rev: s.rev, kind: kind, object: gone, deleted: true})
	return true
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls that PROTOCOL.md names.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	kind := parts[1]
	switch {
	case r.Method == http.MethodGet && len(parts) == 2 && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 2:
		s.list(w, r, kind)
	default:
		s.single(w, r, kind, parts[2:])
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, *o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > since {
				events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind string, rest []string) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	name := in.Meta.Name
	if len(rest) > 0 {
		name = rest[0]
	}
	if rev, err := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64); err == nil {
		in.Meta.Rev = rev
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && held != nil:
		answer(w, http.StatusConflict, *held)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	case held == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, *held)
	case in.Meta.Rev != 0 && in.Meta.Rev != held.Meta.Rev:
		answer(w, http.StatusConflict, *held)
	case r.Method == http.MethodPut && len(rest) > 1:
		answer(w, http.StatusOK, s.write(kind, name, nil, in.Status))
	case r.Method == http.MethodPut:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, nil))
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
