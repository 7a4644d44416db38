package replica

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
)

// truth counts the actual events at the replica, which clients can't observe.
type truth struct {
	// Requests counts every query and write that was read, whatever its outcome.
	Requests int `json:"requests"`
	Queries  int `json:"queries"`
	Canceled int `json:"canceled"`
	Shed     int `json:"shed"`
	Foreign  int `json:"foreign"`
	Lost     int `json:"lost"`
	// Ran counts the executions of each write by its op_id.
	Ran map[string]int `json:"ran"`
	// Crashes holds the id of the request that caused each crash, "command" for an injected one.
	Crashes []string `json:"crashes"`
	// AfterDrainMS is the time from the start of the drain to the arrival of the last request that ran.
	AfterDrainMS int64 `json:"after_drain_ms"`
	// AfterDrain counts the requests that arrived after the start of the drain and ran.
	AfterDrain int `json:"after_drain"`
}

// countAfterDrain counts a request that ran if it arrived during the drain; rep.mu must be held.
func (rep *Replica) countAfterDrain(arrived time.Time) {
	if !rep.faults.Draining || arrived.Before(rep.drained) {
		return
	}
	rep.truth.AfterDrain++
	rep.truth.AfterDrainMS = max(rep.truth.AfterDrainMS, arrived.Sub(rep.drained).Milliseconds())
}

func (rep *Replica) controlTruth(w http.ResponseWriter, _ *http.Request) {
	rep.mu.Lock()
	t := rep.truth
	t.Ran, t.Crashes = maps.Clone(t.Ran), slices.Clone(t.Crashes)
	id := rep.id
	rep.mu.Unlock()
	encode(w, struct {
		ID string `json:"id"`
		truth
		Connections connCounts `json:"connections"`
	}{id, t, rep.gate.counts()})
}

func (rep *Replica) controlFaults(w http.ResponseWriter, r *http.Request) {
	rep.mu.Lock()
	f, err := rep.faults.Patch(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		rep.mu.Unlock()
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return
	}
	began, ended := f.Draining && !rep.faults.Draining, !f.Draining && rep.faults.Draining
	if began {
		rep.drained = time.Now()
	}
	if f.Cold {
		rep.started = time.Now()
	}
	rep.faults = f
	id := rep.id
	rep.mu.Unlock()
	if rep.opts.State != nil && (began || ended) {
		state := platform.StateLive
		if began {
			state = platform.StateLeaving
		}
		go rep.opts.State(id, state, false)
	}
	encode(w, f)
	if f.Silence {
		// The delay lets the reply to this command leave before its connection is silenced.
		time.AfterFunc(flushTime, rep.gate.silence)
	}
	if f.Crash {
		time.AfterFunc(flushTime, func() { rep.crash("command") })
	}
}

// flushTime is the delay of a crash or silence command, within which its own reply is sent.
const flushTime = 20 * time.Millisecond

func (rep *Replica) controlHoldings(w http.ResponseWriter, r *http.Request) {
	var list []upstream.Holding
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&list); err != nil {
		rep.fail(w, r, http.StatusBadRequest, upstream.CodeBadRequest, err.Error(), true)
		return
	}
	rep.mu.Lock()
	rep.holdings = list
	rep.mu.Unlock()
	encode(w, list)
}
