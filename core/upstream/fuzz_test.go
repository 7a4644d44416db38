package upstream_test

import (
	"testing"

	"guavaspring.org/core/upstream"
)

// FuzzParseHoldings guards against accepting a header with impossible holdings, or one that FormatHoldings writes
// differently: two hosts would then have different shard maps of one version.
func FuzzParseHoldings(f *testing.F) {
	for _, seed := range []string{"41=3/10,42=7/15", "", "1=0/1", "1=0/0", "-1=0/1", "1=1/1", "1=0/100001", "9223372036854775807=0/1", "1=0/1,", "01=0/1", "1=+0/1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		list, err := upstream.ParseHoldings(s)
		if err != nil {
			return
		}
		for _, h := range list {
			if h.Version <= 0 || h.Shard < 0 || h.Shard >= h.Shards {
				t.Fatalf("%q was parsed as %+v", s, h)
			}
		}
		if upstream.FormatHoldings(list) != s {
			t.Fatalf("%q is formatted as %q", s, upstream.FormatHoldings(list))
		}
	})
}
