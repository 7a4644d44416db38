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
