package objects

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// Options configures a Server.
type Options struct {
	// HostLag is how long changes of the host list stay hidden.
	HostLag time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls, a watch counting as one read; zero means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Server is the platform stand-in.
type Server struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	revision int64
	changed  chan struct{}
	hosts    map[string][]hostRow
	hostLag  time.Duration
	// era counts how often the platform came back from kept, which is a copy made on command.
	era  int64
	kept objectCopy
	// downUntil, slowBy and old are faults set on command; old is the copy that reads are served from until oldUntil.
	downUntil   time.Time
	slowBy      time.Duration
	old         objectCopy
	oldUntil    time.Time
	calls       map[string]int
	reads       meter
	writes      meter
	watching    int
	watchingMax int
}

// objectCopy is what the platform held at one revision.
type objectCopy struct {
	objects  map[string]platform.Object
	revision int64
}

// New returns a platform without objects.
func New(opts Options) *Server {
	return &Server{
		objects: map[string]platform.Object{}, changed: make(chan struct{}), hosts: map[string][]hostRow{}, hostLag: opts.HostLag,
		kept:  objectCopy{objects: map[string]platform.Object{}},
		calls: map[string]int{}, reads: meter{Limit: opts.ReadsPerSecond}, writes: meter{Limit: opts.WritesPerSecond},
	}
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
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if s.admit(w, r, name) {
			f(w, r)
		}
	}
}

// readable returns what reads see now: the truth, or an old copy. It must be called with s.mu held.
func (s *Server) readable() objectCopy {
	if time.Now().Before(s.oldUntil) {
		return s.old
	}
	return objectCopy{objects: s.objects, revision: s.revision}
}

func (s *Server) object(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["kind"] + "/" + mux.Vars(r)["name"]
	if r.Method == http.MethodPut {
		s.put(w, r, key)
		return
	}
	s.mu.Lock()
	obj, ok := s.readable().objects[key]
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
	if written := r.Header.Get(platform.HeaderEra); old.Version != want || written != "" && written != strconv.FormatInt(old.Era, 10) {
		fail(w, http.StatusConflict, fmt.Sprintf("version is %d", old.Version))
		return
	}
	s.revision++
	kind, name, _ := strings.Cut(key, "/")
	obj := platform.Object{Kind: platform.Kind(kind), Name: name, Version: want + 1, Revision: s.revision, Era: s.era, Body: body}
	s.objects[key] = obj
	s.wake()
	write(w, obj)
}

type objectList struct {
	Revision int64             `json:"revision"`
	Objects  []platform.Object `json:"objects"`
}

// since must be called with s.mu held.
func (s *Server) since(kind string, after int64) objectList {
	from := s.readable()
	list := objectList{Revision: from.revision, Objects: []platform.Object{}}
	for _, obj := range from.objects {
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
	s.watchers(1)
	defer s.watchers(-1)
	era := r.URL.Query().Get("era")
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.down() {
			fail(w, http.StatusServiceUnavailable, "outage")
			return
		}
		s.mu.Lock()
		now := strconv.FormatInt(s.era, 10)
		restored := era != "" && era != now
		if restored {
			// The revision of the watch stands for something else by now.
			after = 0
		}
		list, changed := s.since(mux.Vars(r)["kind"], after), s.changed
		s.mu.Unlock()
		w.Header().Set(platform.HeaderEra, now)
		if restored || len(list.Objects) > 0 {
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

// watchers counts the watches that wait now.
func (s *Server) watchers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching += n
	s.watchingMax = max(s.watchingMax, s.watching)
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		DownMS int64 `json:"down_ms"`
		SlowMS int64 `json:"slow_ms"`
		// OldMS is for how long reads are served from a copy of now.
		OldMS int64 `json:"old_ms"`
		// Keep makes a copy, and Restore brings the platform back from the last one: what was written since is gone.
		Keep    bool `json:"keep"`
		Restore bool `json:"restore"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.downUntil = now.Add(time.Duration(f.DownMS) * time.Millisecond)
	s.slowBy = time.Duration(f.SlowMS) * time.Millisecond
	s.oldUntil = now.Add(time.Duration(f.OldMS) * time.Millisecond)
	s.old = objectCopy{objects: maps.Clone(s.objects), revision: s.revision}
	if f.Keep {
		s.kept = s.old
	}
	if f.Restore {
		s.era++
		s.objects, s.revision = maps.Clone(s.kept.objects), s.kept.revision
	}
	s.wake()
	s.mu.Unlock()
	write(w, f)
}

func (s *Server) controlCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write(w, struct {
		Calls       map[string]int `json:"calls"`
		Reads       meter          `json:"reads"`
		Writes      meter          `json:"writes"`
		Watching    int            `json:"watching"`
		WatchingMax int            `json:"watching_max"`
	}{s.calls, s.reads, s.writes, s.watching, s.watchingMax})
}

// wake lets every waiting watch look again; it must be called with s.mu held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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
