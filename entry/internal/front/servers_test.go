package front

import (
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
)

// Guards against a host that does not start where the process may not list the machine's network interfaces: kratos then has
// to use the address that the server listens on.
func TestServerHasTheAddressOfItsListener(t *testing.T) {
	f := &Front{opts: Options{Clock: clock.System{}, Log: logr.Discard()}}
	srv, err := f.server(t.Context(), netip.MustParseAddrPort("127.0.0.77:0"), http.NotFoundHandler(), 1, nil)
	qt.Assert(t, err, qt.IsNil)
	endpoint, err := srv.Endpoint()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = srv.Stop(t.Context()) })
	qt.Assert(t, endpoint.Hostname(), qt.Equals, "127.0.0.77")
}
