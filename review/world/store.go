package main

import (
	"encoding/json"
	"io"
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

type object struct {
	name         string
	rev, created int64
	spec, status string
}

// text returns the object as the protocol has it.
func (o object) text() string {
	return fill(file("object.txt"), "NAME", strconv.Quote(o.name), "REV", strconv.FormatInt(o.rev, 10), "CREATED", strconv.FormatInt(o.created, 10), "SPEC", o.spec, "STATUS", o.status)
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

// put writes an object as the operator or a server would.
func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec, "")
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// write writes the spec and the status of an object, as far as they are not empty.
func (s *store) write(kind, name, spec, status string) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{name: name, created: s.rev + 1, spec: "{}", status: "null"}
		s.objects[kind][name] = o
	} else if (spec == "" || spec == o.spec) && (status == "" || status == o.status) {
		return *o
	}
	if spec != "" {
		o.spec = spec
	}
	if status != "" {
		o.status = status
	}
	s.rev++
	o.rev = s.rev
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
	gone.rev = s.rev
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
	const page = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var found []object
	for name, o := range s.objects[kind] {
		if name > after {
			found = append(found, *o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	var items []string
	for _, o := range found[:min(page, len(found))] {
		items = append(items, o.text())
	}
	answer(w, http.StatusOK, fill(file("list.txt"), "ITEMS", strings.Join(items, ","), "MORE", strconv.FormatBool(len(found) > page), "REV", strconv.FormatInt(rev, 10)))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
	ms := 0
	for field := range q {
		if field != "watch" {
			ms, _ = strconv.Atoi(q.Get(field))
		}
	}
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		events, rev, changed := s.eventsSince(kind, since), s.rev, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		waiting = false
		answer(w, http.StatusOK, fill(file("events.txt"), "EVENTS", strings.Join(events, ","), "REV", strconv.FormatInt(rev, 10)))
	}
}

// eventsSince returns the changes of a kind after a revision.
func (s *store) eventsSince(kind string, since int64) []string {
	var list []string
	for _, c := range s.history {
		if c.kind == kind && c.rev > since {
			list = append(list, fill(file("event.txt"), "DELETED", strconv.FormatBool(c.deleted), "OBJECT", c.object.text()))
		}
	}
	return list
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind string, rest []string) {
	var in struct {
		Meta struct {
			Name string
			Rev  int64
		}
		Spec, Status json.RawMessage
	}
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
		answer(w, http.StatusConflict, held.text())
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, string(in.Spec), "").text())
	case held == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, held.text())
	case in.Meta.Rev != 0 && in.Meta.Rev != held.rev:
		answer(w, http.StatusConflict, held.text())
	case r.Method == http.MethodPut && len(rest) > 1:
		answer(w, http.StatusOK, s.write(kind, name, "", string(in.Status)).text())
	case r.Method == http.MethodPut:
		answer(w, http.StatusOK, s.write(kind, name, string(in.Spec), "").text())
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		answer(w, http.StatusOK, "{}")
	default:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
