package objects

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gorilla/mux"

	"guavaspring.org/core/platform"
)

// maxValue is the largest value the platform holds, in bytes.
const maxValue = 1 << 20

// Server is the platform stand-in.
type Server struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	revision int64
	changed  chan struct{}
	hosts    map[string]hostRow
	// HostLag is how long a change of the host list stays hidden.
	hostLag time.Duration
	// downUntil and slowBy are faults set on command.
	downUntil time.Time
	slowBy    time.Duration
	calls     map[string]int
}

type hostRow struct {
	row   platform.Replica
	shown time.Time
	gone  time.Time
}

// New returns a platform without objects whose host list lags by hostLag.
func New(hostLag time.Duration) *Server {
	return &Server{objects: map[string]platform.Object{}, changed: make(chan struct{}), hosts: map[string]hostRow{}, hostLag: hostLag, calls: map[string]int{}}
}

// HTTP returns the kratos server that serves the platform at listen.
func (s *Server) HTTP(listen netip.AddrPort) *khttp.Server {
	srv := khttp.NewServer(khttp.Address(listen.String()), khttp.Timeout(0))
	srv.HandleFunc("/v1/objects/{kind}/{name}", s.api("object", s.object))
	srv.HandleFunc("/v1/objects/{kind}", s.api("list", s.list))
	srv.HandleFunc("/v1/watch/{kind}", s.api("watch", s.watch))
	srv.HandleFunc("/v1/hosts", s.api("hosts", s.hostList))
	srv.HandleFunc("/control/hosts/{id}", s.controlHost)
	srv.HandleFunc("/control/faults", s.controlFaults)
	srv.HandleFunc("/control/calls", s.controlCalls)
	return srv
}

// api counts a call and lets the faults act on it before it is served.
func (s *Server) api(name string, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[name+" "+r.Method]++
		down, slow := time.Now().Before(s.downUntil), s.slowBy
		s.mu.Unlock()
		if slow > 0 {
			time.Sleep(slow)
		}
		if down {
			fail(w, http.StatusServiceUnavailable, "outage")
			return
		}
		f(w, r)
	}
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["kind"] + "/" + mux.Vars(r)["name"]
	if r.Method == http.MethodPut {
		s.put(w, r, key)
		return
	}
	s.mu.Lock()
	obj, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "not_found")
		return
	}
	write(w, obj)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	want, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "If-Match must be the version last read")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil || !json.Valid(body) {
		fail(w, http.StatusBadRequest, "the body must be JSON of at most a megabyte")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key]
	if old.Version != want {
		fail(w, http.StatusConflict, fmt.Sprintf("version is %d", old.Version))
		return
	}
	s.revision++
	kind, name, _ := strings.Cut(key, "/")
	obj := platform.Object{Kind: platform.Kind(kind), Name: name, Version: want + 1, Revision: s.revision, Body: body}
	s.objects[key] = obj
	close(s.changed)
	s.changed = make(chan struct{})
	write(w, obj)
}

type objectList struct {
	Revision int64             `json:"revision"`
	Objects  []platform.Object `json:"objects"`
}

// since must be called with s.mu held.
func (s *Server) since(kind string, after int64) objectList {
	list := objectList{Revision: s.revision, Objects: []platform.Object{}}
	for _, obj := range s.objects {
		if string(obj.Kind) == kind && obj.Revision > after {
			list.Objects = append(list.Objects, obj)
		}
	}
	slices.SortFunc(list.Objects, func(a, b platform.Object) int { return int(a.Revision - b.Revision) })
	return list
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.since(mux.Vars(r)["kind"], 0)
	s.mu.Unlock()
	write(w, list)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		fail(w, http.StatusBadRequest, "after and wait_ms must be numbers")
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed := s.since(mux.Vars(r)["kind"], after), s.changed
		s.mu.Unlock()
		if len(list.Objects) > 0 {
			write(w, list)
			return
		}
		select {
		case <-changed:
		case <-end:
			write(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) hostList(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	var reply struct {
		Hosts []platform.Replica `json:"hosts"`
	}
	s.mu.Lock()
	for _, h := range s.hosts {
		if h.shown.Before(now) && (h.gone.IsZero() || now.Before(h.gone)) {
			reply.Hosts = append(reply.Hosts, h.row)
		}
	}
	s.mu.Unlock()
	write(w, reply)
}

func (s *Server) controlHost(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodDelete {
		h := s.hosts[id]
		h.gone = time.Now().Add(s.hostLag)
		s.hosts[id] = h
		write(w, h.row)
		return
	}
	var row platform.Replica
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	row.ID = id
	s.hosts[id] = hostRow{row: row, shown: time.Now().Add(s.hostLag)}
	write(w, row)
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		DownMS int64 `json:"down_ms"`
		SlowMS int64 `json:"slow_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.downUntil = time.Now().Add(time.Duration(f.DownMS) * time.Millisecond)
	s.slowBy = time.Duration(f.SlowMS) * time.Millisecond
	s.mu.Unlock()
	write(w, f)
}

func (s *Server) controlCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write(w, s.calls)
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason string `json:"reason"`
	}{reason})
}
