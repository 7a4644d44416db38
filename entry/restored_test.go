package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/platform/platformtest"
)

// Guards against a store that comes back from an older copy and is not followed until its revisions have caught up.
func TestChangeAfterStoreWasRestored(t *testing.T) {
	s := &session{t: t, store: platformtest.NewStore(), runs: map[string]int{}}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addrs = []string{srv.Listener.Addr().String()}
	rows := map[string]string{}
	for _, n := range []string{"1", "2", "3"} {
		rows["i-"+n] = platformtest.Replica("s"+n, s.replica("i-"+n, "s"+n, n+"_______________"), "ready")
	}
	s.store.Set("config", "main", platformtest.Config(3, `"s1"`, "desk"))
	const one, two = "127.0.0.16", "127.0.0.17"
	ports := freePorts(t, one, two)
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", one, ports+3))
	s.host("host-1", one, ports, seeds)
	s.host("host-2", two, ports, seeds)
	inForce := func(shard string) bool {
		for _, ip := range []string{one, two} {
			if _, line := s.call(fmt.Sprintf("%s:%d", ip, ports), http.MethodGet, "/bundles/blue", ""); !strings.Contains(line, shard) {
				return false
			}
		}
		return true
	}
	old := s.store.Copy()
	for id, row := range rows {
		s.store.Set("servers", id, row)
	}
	s.store.Set("config", "main", platformtest.Config(7, `"s1","s2"`, "desk"))
	s.until("version 7 is in force", func() bool { return inForce("i-2") })

	s.store.Restore(old)
	for id, row := range rows {
		s.store.Set("servers", id, row)
	}
	qt.Check(t, inForce("i-2"), qt.IsTrue, qt.Commentf("version 7 is undone by the copy"))
	s.store.Set("config", "main", platformtest.Config(9, `"s1","s2","s3"`, "desk"))
	s.until("version 9 is in force", func() bool { return inForce("i-3") })
}

// Guards against replicas and evacuated zones that the store's copy brings back on hosts that had seen them go, and on
// a host that starts afterwards.
func TestSessionWithRestoredStore(t *testing.T) {
	s := &session{t: t, store: platformtest.NewStore(), runs: map[string]int{}}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addrs = []string{srv.Listener.Addr().String()}
	addrs := map[string]string{}
	for _, n := range []string{"1", "2", "3"} {
		addrs[n] = s.replica("i-"+n, "s"+n, n+"_______________")
	}
	s.replicaIn("picton-shed", "i-4", "desk", "recorded")
	s.store.Set("config", "main", platformtest.Config(3, `"s1","s2","s3"`, "desk"))
	const one, two, three = "127.0.0.18", "127.0.0.19", "127.0.0.20"
	ports := freePorts(t, one, two, three)
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", one, ports+3))
	s.host("host-1", one, ports, seeds)
	s.host("host-2", two, ports, seeds)
	front := func(ip string) string { return fmt.Sprintf("%s:%d", ip, ports) }
	each := func(what, want string, method, path string, ips ...string) {
		s.until(what, func() bool {
			for _, ip := range ips {
				if _, line := s.call(front(ip), method, path, ""); !strings.Contains(line, want) {
					return false
				}
			}
			return true
		})
	}
	each("whole pages", "missing=0", http.MethodGet, "/bundles/blue", one, two)

	old := s.store.Copy()
	s.store.Delete("servers", "i-3")
	s.store.Set("evacuations", "picton-shed", `{}`)
	each("the replica is gone", "parts=[i-1 i-2] missing=1", http.MethodGet, "/bundles/blue", one, two)
	each("the zone is evacuated", "503", http.MethodPost, "/desk/drop", one, two)

	s.store.Restore(old)
	s.replica("i-5", "s5", "5_______________")
	s.store.Set("config", "main", platformtest.Config(5, `"s1","s2","s3","s5"`, "desk"))
	each("what was written since is known", "i-5", http.MethodGet, "/bundles/blue", one, two)
	s.host("host-3", three, ports, seeds)
	each("the new host knows it", "i-5", http.MethodGet, "/bundles/blue", three)
	for _, ip := range []string{one, two, three} {
		s.show("query at "+ip, front(ip), http.MethodGet, "/bundles/blue", "")
		s.show("write at "+ip, front(ip), http.MethodPost, "/desk/drop", "three bags")
	}

	s.store.Set("servers", "i-3", platformtest.ReplicaStarted("s3", addrs["3"], "ready", 1, 2))
	s.store.Set("evacuations", "picton-shed", `{}`)
	s.store.Delete("evacuations", "picton-shed")
	each("the replica is back", "missing=0", http.MethodGet, "/bundles/blue", one, two, three)
	each("the zone is released", "200", http.MethodPost, "/desk/drop", one, two, three)
	s.compare("testdata/platform_restored.txt")
}
