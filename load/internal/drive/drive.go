package drive

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/check"
	"guavaspring.org/load/internal/hosts"
	"guavaspring.org/load/internal/measure"
	"guavaspring.org/load/internal/scene"
	"guavaspring.org/load/internal/truth"
)

const (
	writeDeadline = 2 * time.Second
	pollInterval  = time.Second
	// settleDelay is the wait before the last read of the replicas' records, in which they still record canceled
	// requests.
	settleDelay = 500 * time.Millisecond
	// maxViolations is the number of false claims that a summary lists; the rest is given as a count.
	maxViolations = 20
	// maxWorst is the number of answers kept as candidates for an explanation.
	maxWorst = 10
)

// Options configures a Driver.
type Options struct {
	Scene scene.Scene
	// Seed determines the arrival times and the caller of each request.
	Seed uint64
	// Run is the prefix of the request ids, which distinguishes runs against the same upstreams.
	Run      string
	Hosts    []netip.AddrPort
	Fleets   []*truth.Fleet
	Platform netip.AddrPort
	// PIDs are the process ids of the hosts whose CPU time is measured.
	PIDs []int
}

// Driver runs one scene against one set of hosts.
type Driver struct {
	opts    Options
	callers []*hosts.Caller
	start   time.Time

	mu            sync.Mutex
	samples       []measure.Sample
	writes        []check.Write
	writeOutcomes map[string]int
	violations    []check.Violation
	needed        int
	// worst holds the answers with the lowest coverage or the highest latency, the worst first.
	worst        []scored
	writeReasons map[string]int
	// queryReasons counts refused and unanswered queries by reason.
	queryReasons map[string]int
}

// scored is an answer and its rank among the candidates for an explanation; the highest score comes first.
type scored struct {
	answer caller.Answer
	score  float64
}

// New returns a driver with its callers; the first one is the hot caller, which sends the share HotShare of the queries.
func New(opts Options) (*Driver, error) {
	d := &Driver{opts: opts, writeOutcomes: map[string]int{}, writeReasons: map[string]int{}, queryReasons: map[string]int{}}
	for i := range opts.Scene.Callers {
		c, err := hosts.New(fmt.Sprintf("caller-%d", i), opts.Hosts)
		if err != nil {
			return nil, err
		}
		d.callers = append(d.callers, c)
	}
	return d, nil
}

// Run sends the scene's requests, waits for all of them, and checks the answers against the records of the replicas.
func (d *Driver) Run(ctx context.Context) measure.Summary {
	d.readFleets(ctx)
	before, cpuBefore := d.counts(), d.cpuTime()
	d.start = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg, watch sync.WaitGroup
	watch.Go(func() { d.pollFleets(ctx) })
	wg.Go(func() { d.sendQueries(ctx) })
	wg.Go(func() { d.sendWrites(ctx) })
	wg.Go(func() { d.sendPoison(ctx) })
	for _, f := range d.opts.Scene.Faults {
		wg.Go(func() { d.setFault(ctx, f) })
	}
	wg.Wait()
	d.clearFaults()
	time.Sleep(settleDelay)
	cpuUsed := d.cpuTime() - cpuBefore
	cancel()
	watch.Wait()
	d.readFleets(context.WithoutCancel(ctx))
	return d.summary(before, cpuUsed)
}

// Samples returns every query of the run.
func (d *Driver) Samples() []measure.Sample { return d.samples }

// Explain reads the explanation of the answer with the lowest coverage or the highest latency into reply and returns
// that answer. It falls back to the next worst answer where the host of the worst one is gone.
func (d *Driver) Explain(ctx context.Context, reply any) (caller.Answer, error) {
	err := errors.New("no answer to explain")
	for _, w := range d.worst {
		if err = d.callers[0].Explain(ctx, w.answer.ExplanationID, reply); err == nil {
			return w.answer, nil
		}
	}
	return caller.Answer{}, err
}

func (d *Driver) summary(before counts, cpuUsed time.Duration) measure.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	sc := d.opts.Scene
	sum := measure.Summarize(d.samples, sc.Warmup.Std(), sc.Duration.Std())
	sum.Scene, sum.Writes, sum.WriteReasons = sc.Name, d.writeOutcomes, d.writeReasons
	sum.QueryReasons = d.queryReasons
	after := d.counts()
	sum.Sent, sum.Needed, sum.Crashes = after.requests-before.requests, d.needed, after.crashes-before.crashes
	if sum.Needed > 0 {
		sum.Extra = float64(sum.Sent)/float64(sum.Needed) - 1
	}
	if len(d.samples) > 0 {
		sum.CPUPerQueryMS = cpuUsed.Seconds() * 1000 / float64(len(d.samples))
	}
	sum.PeakConnections = map[string]int{}
	sum.RefusedConnections = after.refused - before.refused
	for _, f := range d.opts.Fleets {
		sum.UnreadReplicas += f.Unread()
		sum.AfterDrainMS = max(sum.AfterDrainMS, f.AfterDrain())
		sum.PeakConnections[f.Service] = f.Peak()
	}
	d.violations = append(d.violations, check.Writes(d.writes, d.executions())...)
	sum.Violations = describe(d.violations)
	return sum
}

// executions returns the number of executions of each write, summed over the replicas.
func (d *Driver) executions() map[string]int {
	all := map[string]int{}
	for _, f := range d.opts.Fleets {
		for op, n := range f.Executions() {
			all[op] += n
		}
	}
	return all
}

func describe(violations []check.Violation) []string {
	var words []string
	for _, l := range violations[:min(len(violations), maxViolations)] {
		words = append(words, string(l.Kind)+": "+l.Detail)
	}
	if more := len(violations) - maxViolations; more > 0 {
		words = append(words, fmt.Sprintf("and %d more", more))
	}
	return words
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
