package subnet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/soak/internal/subnet"
)

// Seeds 250 apart, such as 102 and 352, map to the same subnet. Two such soak tests at the same time used the same
// addresses: the clients of one called the hosts of the other, and the run reported 534 writes that ran twice and 4,683
// that were acknowledged but did not run.
func TestConcurrentSoaksShareNoAddress(t *testing.T) {
	one, err := subnet.Reserve(t.Context(), 102)
	qt.Assert(t, err, qt.IsNil)
	two, err := subnet.Reserve(t.Context(), 352)
	qt.Assert(t, err, qt.IsNil)
	defer two.Close()
	qt.Assert(t, two.IP(0), qt.Not(qt.Equals), one.IP(0))
	was := one.IP(3)
	one.Close()
	again, err := subnet.Reserve(t.Context(), 102)
	qt.Assert(t, err, qt.IsNil)
	defer again.Close()
	qt.Assert(t, again.IP(3), qt.Equals, was)
}
