package upstream_test

import (
	"testing"

	"guavaspring.org/core/upstream"
)

// FuzzParseHoldings looks for a header that is taken for holdings that no replica can have, or that are not
// written back the same: two hosts would then see two shard maps of one version.
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
				t.Fatalf("%q was taken for %+v", s, h)
			}
		}
		if upstream.FormatHoldings(list) != s {
			t.Fatalf("%q is written back as %q", s, upstream.FormatHoldings(list))
		}
	})
}
