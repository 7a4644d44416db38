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
	truthEvery    = time.Second
	// settle lets requests that were given up on reach the truth before it is read for the last time.
	settle = 500 * time.Millisecond
	// maxLies bounds how many untruths are kept in words; all are counted.
	maxLies = 20
	// keptWorst is how many answers are kept to be explained.
	keptWorst = 10
)

// Options says what to run and where.
type Options struct {
	Scene scene.Scene
	// Seed fixes the arrivals and who sends each request.
	Seed uint64
	// Run names this run within the requests' ids, so that two runs on the same upstreams can be told apart.
	Run      string
	Hosts    []netip.AddrPort
	Fleets   []*truth.Fleet
	Platform netip.AddrPort
	// PIDs are the hosts' processes, whose processor time is measured.
	PIDs []int
}

// Driver runs one scene against one set of hosts.
type Driver struct {
	opts    Options
	callers []*hosts.Caller
	start   time.Time

	mu      sync.Mutex
	samples []measure.Sample
	writes  []check.Write
	told    map[string]int
	lies    []check.Lie
	needed  int
	// worst holds the answers that cover least or took longest, the worst first.
	worst   []scored
	reasons map[string]int
	// queryReasons counts why queries were refused or not answered.
	queryReasons map[string]int
}

// scored is an answer and how much it calls for an explanation.
type scored struct {
	answer caller.Answer
	score  float64
}

// New returns a driver with its callers, the first of which is the one that sends the most.
func New(opts Options) (*Driver, error) {
	d := &Driver{opts: opts, told: map[string]int{}, reasons: map[string]int{}, queryReasons: map[string]int{}}
	for i := range opts.Scene.Callers {
		c, err := hosts.New(fmt.Sprintf("caller-%d", i), opts.Hosts)
		if err != nil {
			return nil, err
		}
		d.callers = append(d.callers, c)
	}
	return d, nil
}

// Run sends the scene's requests, waits for all of them, and compares them with the truth.
func (d *Driver) Run(ctx context.Context) measure.Summary {
	d.readTruths(ctx)
	before, cpuBefore := d.counts(), d.cpuTime()
	d.start = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg, watch sync.WaitGroup
	watch.Go(func() { d.watchTruths(ctx) })
	wg.Go(func() { d.sendQueries(ctx) })
	wg.Go(func() { d.sendWrites(ctx) })
	wg.Go(func() { d.sendPoison(ctx) })
	for _, f := range d.opts.Scene.Faults {
		wg.Go(func() { d.fault(ctx, f) })
	}
	wg.Wait()
	d.mend()
	time.Sleep(settle)
	cpuUsed := d.cpuTime() - cpuBefore
	cancel()
	watch.Wait()
	d.readTruths(context.WithoutCancel(ctx))
	return d.summary(before, cpuUsed)
}

// Samples returns every query of the run.
func (d *Driver) Samples() []measure.Sample { return d.samples }

// Explain reads the explanation of the answer that covered least, or took longest, into reply and returns that answer;
// the next worst stands in for one whose host is gone.
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
	sum.Scene, sum.Writes, sum.WriteReasons = sc.Name, d.told, d.reasons
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
		sum.LostTruths += f.Lost()
		sum.AfterDrainMS = max(sum.AfterDrainMS, f.AfterDrain())
		sum.PeakConnections[f.Service] = f.Peak()
	}
	d.lies = append(d.lies, check.Writes(d.writes, d.ran())...)
	sum.Lies = inWords(d.lies)
	return sum
}

// ran returns how often each write took effect at all replicas together.
func (d *Driver) ran() map[string]int {
	all := map[string]int{}
	for _, f := range d.opts.Fleets {
		for op, n := range f.Ran() {
			all[op] += n
		}
	}
	return all
}

func inWords(lies []check.Lie) []string {
	var words []string
	for _, l := range lies[:min(len(lies), maxLies)] {
		words = append(words, string(l.Kind)+": "+l.Detail)
	}
	if more := len(lies) - maxLies; more > 0 {
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
