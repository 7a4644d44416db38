package caller_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/caller"
)

func TestExplanationHost(t *testing.T) {
	c := qt.New(t)
	for _, host := range []string{"127.0.0.1:7001", "[2001:db8::1]:443", "10.1.2.3:65535"} {
		want := netip.MustParseAddrPort(host)
		got, err := caller.ExplanationHost(caller.NewExplanationID(want, "ABC"))
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, want)
	}
	for _, id := range []string{"", "-", "ABC", "ABC-DEF", "!!-X", "AAAAAAAA-X"} {
		_, err := caller.ExplanationHost(id)
		c.Check(err, qt.ErrorMatches, ".*is not an explanation id.*", qt.Commentf("%q", id))
	}
}
