package objects

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"guavaspring.org/core/platform"
)

// hostChange is a change of the host list, which becomes visible at shown.
type hostChange struct {
	row   platform.Replica
	gone  bool
	shown time.Time
}

// hostList writes the newest visible change of each row.
func (s *Server) hostList(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	reply := struct {
		Hosts []platform.Replica `json:"hosts"`
	}{Hosts: []platform.Replica{}}
	s.mu.Lock()
	for _, changes := range s.hosts {
		i := len(changes) - 1
		for i >= 0 && changes[i].shown.After(now) {
			i--
		}
		if i >= 0 && !changes[i].gone {
			reply.Hosts = append(reply.Hosts, changes[i].row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Hosts, func(a, b platform.Replica) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, reply)
}

func (s *Server) controlHost(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	change := hostChange{gone: r.Method == http.MethodDelete}
	if !change.gone {
		if err := json.NewDecoder(r.Body).Decode(&change.row); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	change.row.ID = id
	s.mu.Lock()
	defer s.mu.Unlock()
	change.shown = time.Now().Add(s.hostLag)
	s.hosts[id] = append(s.hosts[id], change)
	writeJSON(w, change.row)
}
