package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"guavaspring.org/core/upstream"
)

const (
	maxBody      = 1 << 20
	hitsPerShard = 3
)

var errShed = errors.New("every slot is taken")

// hits returns the hits for a query. They depend only on the version, the shards and the query, so that a client can
// verify them.
func hits(h upstream.Holding, q upstream.Query) []upstream.Hit {
	list := make([]upstream.Hit, 0, hitsPerShard)
	data, _ := json.Marshal(struct {
		Query   string `json:"query"`
		Version int64  `json:"version"`
		Shards  int    `json:"shards"`
	}{q.Query, h.Version, h.Shards})
	for i := range min(q.Limit, hitsPerShard) {
		id := fmt.Sprintf("v%d-s%d-%d", h.Version, h.Shard, i)
		sum := fnv.New32a()
		_, _ = sum.Write([]byte(id))
		list = append(list, upstream.Hit{ID: id, Score: float64(sum.Sum32()%1000) / 1000, Data: data})
	}
	return list
}

func (rep *Replica) query(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var q upstream.Query
	if !rep.readRequest(w, r, &q) {
		return
	}
	version, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderVersion), 10, 64)
	shard, _ := strconv.Atoi(r.Header.Get(upstream.HeaderShard))
	h, ok := rep.holding(version, shard)
	if !ok {
		rep.fail(w, r, http.StatusConflict, upstream.CodeVersionGone, fmt.Sprintf("version %d shard %d is not held", version, shard), true)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !rep.acquireSlot(ctx, w, r) {
		return
	}
	defer func() { <-rep.slots }()
	select {
	case <-time.After(rep.serviceTime()):
	case <-ctx.Done():
		rep.canceled(w, r)
		return
	}
	reply := upstream.QueryReply{RequestID: r.Header.Get(upstream.HeaderRequest), Version: version, Shard: shard, Hits: hits(h, q)}
	rep.ok(w, rep.finishQuery(reply, arrived))
}

// finishQuery counts the query and returns its reply, or with the fault Foreign the reply of an earlier query.
func (rep *Replica) finishQuery(reply upstream.QueryReply, arrived time.Time) upstream.QueryReply {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.truth.Queries++
	rep.countAfterDrain(arrived)
	if rep.faults.Foreign > 0 && rep.lastReply.RequestID != "" {
		rep.faults.Foreign--
		rep.truth.Foreign++
		return rep.lastReply
	}
	rep.lastReply = reply
	return reply
}

func (rep *Replica) write(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var body upstream.Write
	if !rep.readRequest(w, r, &body) {
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !rep.acquireSlot(ctx, w, r) {
		return
	}
	defer func() { <-rep.slots }()
	// A write that has started takes effect even if the client disconnects: cancellation can't undo it.
	time.Sleep(rep.serviceTime())
	if rep.recordWrite(body.OpID, arrived) {
		panic(http.ErrAbortHandler)
	}
	rep.ok(w, upstream.WriteReply{RequestID: r.Header.Get(upstream.HeaderRequest), Result: json.RawMessage(`{"op_id":` + strconv.Quote(body.OpID) + `}`)})
}

// recordWrite counts the execution of a write and reports whether its reply has to be dropped.
func (rep *Replica) recordWrite(op string, arrived time.Time) (lose bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.truth.Ran[op]++
	rep.countAfterDrain(arrived)
	if rep.faults.LoseReplies > 0 {
		rep.faults.LoseReplies--
		rep.truth.Lost++
		return true
	}
	return false
}

// readRequest decodes the body into v, applies the faults that precede any effect, and reports whether to continue.
func (rep *Replica) readRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return false
	}
	rep.mu.Lock()
	rep.truth.Requests++
	f := rep.faults
	reset := f.ResetBefore > 0
	if reset {
		rep.faults.ResetBefore--
	}
	refuse := f.Draining && time.Since(rep.drained) >= f.RefuseAfter.Std()
	rep.mu.Unlock()
	switch {
	case f.CrashMarker != "" && bytes.Contains(b, []byte(f.CrashMarker)):
		rep.crash(r.Header.Get(upstream.HeaderRequest))
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case refuse:
		rep.fail(w, r, http.StatusServiceUnavailable, upstream.CodeDraining, "the replica is leaving", true)
		return false
	case f.ShedShare > 0 && rand.Float64() < f.ShedShare:
		rep.shed(w, r, errShed)
		return false
	}
	return true
}

// acquireSlot acquires a slot and reports whether it did. If all are in use it waits in the queue; if that fails, it
// has sent an error reply.
func (rep *Replica) acquireSlot(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	select {
	case rep.slots <- struct{}{}:
		return true
	default:
	}
	defer rep.waiting.Add(-1)
	if rep.waiting.Add(1) > int64(rep.opts.Queue) {
		rep.shed(w, r, errShed)
		return false
	}
	end := time.NewTimer(rep.opts.QueueWait)
	defer end.Stop()
	select {
	case rep.slots <- struct{}{}:
		return true
	case <-end.C:
		rep.shed(w, r, fmt.Errorf("%w for %s", errShed, rep.opts.QueueWait))
	case <-ctx.Done():
		rep.canceled(w, r)
	}
	return false
}

func (rep *Replica) shed(w http.ResponseWriter, r *http.Request, err error) {
	rep.mu.Lock()
	rep.truth.Shed++
	rep.mu.Unlock()
	rep.fail(w, r, http.StatusServiceUnavailable, upstream.CodeShed, err.Error(), true)
}

func (rep *Replica) canceled(w http.ResponseWriter, r *http.Request) {
	rep.mu.Lock()
	rep.truth.Canceled++
	rep.mu.Unlock()
	rep.fail(w, r, http.StatusGatewayTimeout, upstream.CodeDeadline, "the deadline passed or the sender has gone", false)
}

// withDeadline returns the context of the request with the deadline of its header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(upstream.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (rep *Replica) health(w http.ResponseWriter, _ *http.Request) {
	var h upstream.Health
	_, _ = fmt.Sscanf(rep.reportedLoad(), "%d/%d", &h.Running, &h.Slots)
	rep.mu.Lock()
	h.Draining, h.Holdings = rep.faults.Draining, rep.holdings
	rep.mu.Unlock()
	rep.ok(w, h)
}

func (rep *Replica) ok(w http.ResponseWriter, v any) {
	rep.headers(w)
	encode(w, v)
}

func (rep *Replica) fail(w http.ResponseWriter, r *http.Request, status int, code upstream.Code, reason string, notRun bool) {
	rep.headers(w)
	if notRun {
		w.Header().Set(upstream.HeaderNotRun, "true")
	}
	w.WriteHeader(status)
	encode(w, upstream.Problem{Code: code, Reason: reason, RequestID: r.Header.Get(upstream.HeaderRequest)})
}

func (rep *Replica) headers(w http.ResponseWriter) {
	claim := rep.reportedLoad()
	rep.mu.Lock()
	defer rep.mu.Unlock()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(upstream.HeaderVersions, upstream.FormatHoldings(rep.holdings))
	h.Set(upstream.HeaderLoad, claim)
	if rep.faults.Draining {
		h.Set(upstream.HeaderDraining, "1")
	}
}

func encode(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }
