package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Meta struct {
		Name string `json:"name"`
		Rev  int64  `json:"rev"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store plays the platform's metadata store: linearizable, never slow, with all of its history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]object
	events   []storeEvent
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]object{}, changed: make(chan struct{})}
}

// set writes an object and returns it; s.mu must be held.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	var o object
	o.Meta.Name, o.Meta.Rev, o.Spec = name, s.revision, spec
	s.objects[kind+"/"+name] = o
	s.events = append(s.events, storeEvent{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or a replica does.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, json.RawMessage(spec))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, word("objects")), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case name != "":
		s.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists, o.Meta.Rev != 0 && o.Meta.Rev != old.Meta.Rev:
		w.WriteHeader(http.StatusConflict)
		reply(w, old)
	default:
		reply(w, s.set(kind, name, o.Spec))
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Meta.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > page
	reply(w, map[string]any{"items": items[:min(page, len(items))], "more": more, word("revision"): s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(word("wait")))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Rev > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, word("revision"): revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	// A caller that went away reads no answer.
	_ = json.NewEncoder(w).Encode(v)
}
