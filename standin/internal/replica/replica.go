package replica

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/standin/internal/fault"
)

// Options configures a Replica.
type Options struct {
	ID          string
	Slots       int
	Connections int
	ConnectCost time.Duration
	// ServiceTime is the mean service time of a request, Jitter its relative standard deviation.
	ServiceTime time.Duration
	Jitter      float64
	// Queue is the maximum number of requests that wait for a slot, each for at most QueueWait; more are shed.
	Queue     int
	QueueWait time.Duration
	Holdings  []upstream.Holding
	Faults    fault.Faults
	// State is called when the replica begins or ends a drain, crashes, or starts under a new ID; it may be nil.
	State func(id string, state platform.ReplicaState, gone bool)
}

// Replica simulates one upstream replica.
type Replica struct {
	opts    Options
	slots   chan struct{}
	waiting atomic.Int64
	gate    *replicaListener

	mu        sync.Mutex
	id        string
	holdings  []upstream.Holding
	faults    fault.Faults
	started   time.Time
	drained   time.Time
	claimed   string
	claimAt   time.Time
	lastReply upstream.QueryReply
	truth     truth
}

// New opens the port at addr with the connection limit in force; requests are served once the server of HTTP runs.
func New(addr netip.AddrPort, opts Options) (*Replica, error) {
	g, err := newReplicaListener(addr, opts.ConnectCost, opts.Connections)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", opts.ID, err)
	}
	rep := &Replica{
		opts: opts, slots: make(chan struct{}, opts.Slots), gate: g, id: opts.ID, holdings: opts.Holdings,
		faults: opts.Faults, started: time.Now(), truth: truth{Ran: map[string]int{}},
	}
	return rep, nil
}

// Addr returns the address that the replica listens on.
func (rep *Replica) Addr() netip.AddrPort { return rep.gate.addr }

// ID returns the replica's ID, which changes with each crash.
func (rep *Replica) ID() string {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.id
}

// HTTP returns the kratos server of the replica.
func (rep *Replica) HTTP() *khttp.Server {
	srv := khttp.NewServer(khttp.Listener(rep.gate), khttp.Timeout(0))
	srv.HandleFunc("/v1/query", rep.query)
	srv.HandleFunc("/v1/write", rep.write)
	srv.HandleFunc("/v1/health", rep.health)
	srv.HandleFunc("/control/truth", rep.controlTruth)
	srv.HandleFunc("/control/faults", rep.controlFaults)
	srv.HandleFunc("/control/holdings", rep.controlHoldings)
	return srv
}

func (rep *Replica) holding(version int64, shard int) (upstream.Holding, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	i := slices.IndexFunc(rep.holdings, func(h upstream.Holding) bool { return h.Version == version && h.Shard == shard })
	if i < 0 {
		return upstream.Holding{}, false
	}
	return rep.holdings[i], true
}

// serviceTime returns a random service time with the current faults applied.
func (rep *Replica) serviceTime() time.Duration {
	rep.mu.Lock()
	f, age := rep.faults, time.Since(rep.started)
	rep.mu.Unlock()
	d := float64(rep.opts.ServiceTime) * f.SlowBy()
	d *= max(0.2, 1+rep.opts.Jitter*rand.NormFloat64())
	if f.StragglerShare > 0 && rand.Float64() < f.StragglerShare {
		d *= f.StragglerFactor
	}
	if coldFor := f.ColdFor.Std(); f.ColdFactor > 1 && age < coldFor {
		d *= 1 + (f.ColdFactor-1)*(1-float64(age)/float64(coldFor))
	}
	return time.Duration(d)
}

// crash resets every connection; after CrashDown the replica starts again, cold and under a new ID.
func (rep *Replica) crash(cause string) {
	rep.mu.Lock()
	down := rep.faults.CrashDown.Std()
	back := time.Now().Add(down)
	old := rep.id
	rep.truth.Crashes = append(rep.truth.Crashes, cause)
	rep.id = fmt.Sprintf("%s.%d", rep.opts.ID, len(rep.truth.Crashes))
	rep.started = back
	id := rep.id
	rep.mu.Unlock()
	rep.gate.crash(back)
	if rep.opts.State != nil {
		rep.opts.State(old, platform.StateLeaving, true)
		time.AfterFunc(down, func() { rep.opts.State(id, platform.StateLive, false) })
	}
}

// reportedLoad returns the reported load, which a fault can delay or replace.
func (rep *Replica) reportedLoad() string {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.faults.ClaimLoad != "" {
		return rep.faults.ClaimLoad
	}
	if now := time.Now(); rep.claimed == "" || now.Sub(rep.claimAt) >= rep.faults.ClaimLag.Std() {
		rep.claimAt = now
		rep.claimed = fmt.Sprintf("%d/%d", len(rep.slots)+int(rep.waiting.Load()), rep.opts.Slots)
	}
	return rep.claimed
}
