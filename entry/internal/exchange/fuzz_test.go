package exchange_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/replicatest"
	"guavaspring.org/platform/platformtest"
)

// Guards against bytes that pass for the reply to a request without naming it: whatever a replica sends on a connection
// that has carried another request, only a reply with the id of the request under way says how it ended.
func FuzzReplyOnReusedConnection(f *testing.F) {
	own := platformtest.Reply(200, "second", "s", []byte("own"))
	late := platformtest.Reply(200, "first", "s", []byte("late"))
	for _, seed := range [][]byte{
		own, late, bytes.Join([][]byte{late, own}, nil), bytes.Join([][]byte{late, late, own}, nil), own[:len(own)-1],
		platformtest.NotRun("first"), platformtest.NotRun("second"), platformtest.NotRun(""), platformtest.Misdirected(""),
		platformtest.Unframed("first", "s", own), platformtest.Reply(200, "first", "s", own), []byte("HTTP/1.1 100 Continue\r\n\r\n"), nil,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		farm := replicatest.New()
		defer farm.Close()
		r := farm.Add("a", 1, func(req *http.Request, _ []byte) replicatest.Answer {
			if platformtest.ReadRequestHeader(req).ID == "first" {
				return replicatest.Answer{Raw: platformtest.Reply(200, "first", "s", nil)}
			}
			return replicatest.Answer{Raw: raw, Close: true}
		})
		p := newPool(farm, r)
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if res := p.Do(ctx, call("first")); res.Kind != upstream.KindOK {
			t.Fatalf("the first reply is %s: %s", res.Kind, res.Detail)
		}
		res := p.Do(ctx, call("second"))
		if ctx.Err() != nil {
			t.Fatalf("no result for %q", raw)
		}
		if decisive := res.Whole() || res.Kind.NotRun(); decisive && !bytes.Contains(raw, []byte("second")) {
			t.Fatalf("%q is taken for the reply: %s", raw, res.Kind)
		}
	})
}
