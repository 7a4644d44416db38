package ticket

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against accepting tickets that are malformed, too long or too long-lived.
func TestParse(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	good := Mint("HOST", "donor-desk", now, time.Hour)
	got, err := Parse(good)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Incarnation, qt.Equals, "HOST")
	qt.Assert(t, got.Service, qt.Equals, "donor-desk")
	qt.Assert(t, got.Issued.Equal(now), qt.IsTrue)
	qt.Assert(t, got.Expires.Equal(now.Add(MaxLife)), qt.IsTrue)
	for _, bad := range []string{
		"", "x", strings.Repeat("t", 300), "t1.H.s.2.1.R", "t1.H.s.0.1.R", "t1..s.1.2.R", "t1.H.s.1.2.", "t0.H.s.1.2.R",
		"t1.H.s.1.9999999.R", "t1.H.s.x.2.R", good + ".x",
	} {
		_, err := Parse(bad)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
}

// FuzzParse guards against tickets of hostile callers that make Parse panic, or that pass it with too long a lifetime.
func FuzzParse(f *testing.F) {
	f.Add(Mint("HOST", "donor-desk", time.UnixMilli(1), time.Minute))
	f.Add("t1.H.s.9223372036854775807.-9223372036854775808.R")
	f.Add("t1.H.s.1.9223372036854775807.R")
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Parse(s)
		if err == nil && (got.Expires.Before(got.Issued) || got.Expires.Sub(got.Issued) > MaxLife) {
			t.Fatalf("%q: life out of bounds", s)
		}
	})
}

// BenchmarkClaim measures the time and memory of one record; DefaultMaxRecords depends on the latter.
func BenchmarkClaim(b *testing.B) {
	now := time.Now()
	book := NewBook("HOST", b.N+1)
	list := make([]string, b.N)
	for i := range list {
		list[i] = Mint("HOST", "donor-desk", now, time.Minute)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, raw := range list {
		book.Claim(raw, "donor-desk", 1, now)
	}
}
