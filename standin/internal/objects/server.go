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

// maxValue is the maximum size of a value in bytes.
const maxValue = 1 << 20

// Options configures a Server.
type Options struct {
	// HostLag is the delay before a change of the host list becomes visible.
	HostLag time.Duration
	// WritesPerSecond and ReadsPerSecond limit the rate of calls, zero for no limit; a watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Server simulates the platform.
type Server struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	revision int64
	changed  chan struct{}
	hosts    map[string][]hostChange
	hostLag  time.Duration
	// era counts how often the platform was restored from backup, which is made on command.
	era    int64
	backup snapshot
	// downUntil, slowBy and old are faults set on command; until oldUntil, reads are served from the snapshot old.
	downUntil   time.Time
	slowBy      time.Duration
	old         snapshot
	oldUntil    time.Time
	calls       map[string]int
	reads       meter
	writes      meter
	watching    int
	watchingMax int
}

// snapshot holds all objects at one revision.
type snapshot struct {
	objects  map[string]platform.Object
	revision int64
}

// New returns a Server without objects.
func New(opts Options) *Server {
	return &Server{
		objects: map[string]platform.Object{}, changed: make(chan struct{}), hosts: map[string][]hostChange{}, hostLag: opts.HostLag,
		backup: snapshot{objects: map[string]platform.Object{}},
		calls:  map[string]int{}, reads: meter{Limit: opts.ReadsPerSecond}, writes: meter{Limit: opts.WritesPerSecond},
	}
}

// HTTP returns the kratos server that serves the platform at listen.
func (s *Server) HTTP(listen netip.AddrPort) *khttp.Server {
	srv := khttp.NewServer(khttp.Address(listen.String()), khttp.Timeout(0))
	srv.HandleFunc("/v1/objects/{kind}/{name}", s.withFaults("object", s.object))
	srv.HandleFunc("/v1/objects/{kind}", s.withFaults("list", s.list))
	srv.HandleFunc("/v1/watch/{kind}", s.withFaults("watch", s.watch))
	srv.HandleFunc("/v1/hosts", s.withFaults("hosts", s.hostList))
	srv.HandleFunc("/control/hosts/{id}", s.controlHost)
	srv.HandleFunc("/control/faults", s.controlFaults)
	srv.HandleFunc("/control/calls", s.controlCalls)
	return srv
}

// withFaults wraps f: it sets the era header, counts the call and applies the faults.
func (s *Server) withFaults(name string, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if s.admit(w, r, name) {
			f(w, r)
		}
	}
}

// readable returns the objects that reads are served from: the current ones or an old snapshot. s.mu must be held.
func (s *Server) readable() snapshot {
	if time.Now().Before(s.oldUntil) {
		return s.old
	}
	return snapshot{objects: s.objects, revision: s.revision}
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
		writeError(w, http.StatusNotFound, "not_found")
		return
	}
	writeJSON(w, obj)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	want, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "If-Match must be the version last read")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "the body must be JSON of at most a megabyte")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key]
	if written := r.Header.Get(platform.HeaderEra); old.Version != want || written != "" && written != strconv.FormatInt(old.Era, 10) {
		writeError(w, http.StatusConflict, fmt.Sprintf("version is %d", old.Version))
		return
	}
	s.revision++
	kind, name, _ := strings.Cut(key, "/")
	obj := platform.Object{Kind: platform.Kind(kind), Name: name, Version: want + 1, Revision: s.revision, Era: s.era, Body: body}
	s.objects[key] = obj
	s.notifyWatches()
	writeJSON(w, obj)
}

type objectList struct {
	Revision int64             `json:"revision"`
	Objects  []platform.Object `json:"objects"`
}

// changedSince returns the readable objects of a kind with a revision greater than after; s.mu must be held.
func (s *Server) changedSince(kind string, after int64) objectList {
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
	list := s.changedSince(mux.Vars(r)["kind"], 0)
	s.mu.Unlock()
	writeJSON(w, list)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		writeError(w, http.StatusBadRequest, "after and wait_ms must be numbers")
		return
	}
	s.addWatchers(1)
	defer s.addWatchers(-1)
	era := r.URL.Query().Get("era")
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.down() {
			writeError(w, http.StatusServiceUnavailable, "outage")
			return
		}
		s.mu.Lock()
		now := strconv.FormatInt(s.era, 10)
		restored := era != "" && era != now
		if restored {
			// Revisions of another era are not comparable, so the watch gets all objects.
			after = 0
		}
		list, changed := s.changedSince(mux.Vars(r)["kind"], after), s.changed
		s.mu.Unlock()
		w.Header().Set(platform.HeaderEra, now)
		if restored || len(list.Objects) > 0 {
			writeJSON(w, list)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// addWatchers adds n to the number of waiting watches.
func (s *Server) addWatchers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching += n
	s.watchingMax = max(s.watchingMax, s.watching)
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		DownMS int64 `json:"down_ms"`
		SlowMS int64 `json:"slow_ms"`
		// OldMS is how long reads are served from a snapshot taken on receipt.
		OldMS int64 `json:"old_ms"`
		// Keep makes a backup. Restore restores the last backup, which discards all later writes.
		Keep    bool `json:"keep"`
		Restore bool `json:"restore"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.downUntil = now.Add(time.Duration(f.DownMS) * time.Millisecond)
	s.slowBy = time.Duration(f.SlowMS) * time.Millisecond
	s.oldUntil = now.Add(time.Duration(f.OldMS) * time.Millisecond)
	s.old = snapshot{objects: maps.Clone(s.objects), revision: s.revision}
	if f.Keep {
		s.backup = s.old
	}
	if f.Restore {
		s.era++
		s.objects, s.revision = maps.Clone(s.backup.objects), s.backup.revision
	}
	s.notifyWatches()
	s.mu.Unlock()
	writeJSON(w, f)
}

func (s *Server) controlCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, struct {
		Calls       map[string]int `json:"calls"`
		Reads       meter          `json:"reads"`
		Writes      meter          `json:"writes"`
		Watching    int            `json:"watching"`
		WatchingMax int            `json:"watching_max"`
	}{s.calls, s.reads, s.writes, s.watching, s.watchingMax})
}

// notifyWatches wakes all waiting watches; s.mu must be held.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason string `json:"reason"`
	}{reason})
}
