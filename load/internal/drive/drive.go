package drive

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/load/internal/arrivals"
	"guavaspring.org/load/internal/check"
	"guavaspring.org/load/internal/cpu"
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
}

// scored is an answer and how much it calls for an explanation.
type scored struct {
	answer caller.Answer
	score  float64
}

// New returns a driver with its callers, the first of which is the one that sends the most.
func New(opts Options) (*Driver, error) {
	d := &Driver{opts: opts, told: map[string]int{}, reasons: map[string]int{}}
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

// Explain reads the explanation of the answer that covered least, or took longest, into reply and returns that answer; the next worst stands in for one whose host is gone.
func (d *Driver) Explain(ctx context.Context, reply any) (caller.Answer, error) {
	err := errors.New("no answer to explain")
	for _, w := range d.worst {
		if err = d.callers[0].Explain(ctx, w.answer.ExplanationID, reply); err == nil {
			return w.answer, nil
		}
	}
	return caller.Answer{}, err
}

func (d *Driver) sendQueries(ctx context.Context) {
	sc := d.opts.Scene
	arrive := arrivals.New(sc.Rate, d.opts.Seed)
	rnd := rand.New(rand.NewPCG(d.opts.Seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		at := arrive.Next()
		if at > sc.Duration.Std() || !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		from, hot := d.sender(rnd)
		wg.Go(func() { d.query(ctx, from, hot, n, at) })
	}
}

// sender draws which caller sends the next query.
func (d *Driver) sender(rnd *rand.Rand) (c *hosts.Caller, hot bool) {
	if len(d.callers) == 1 {
		return d.callers[0], true
	}
	if d.opts.Scene.HotShare > 0 && rnd.Float64() < d.opts.Scene.HotShare {
		return d.callers[0], true
	}
	return d.callers[1+rnd.IntN(len(d.callers)-1)], false
}

func (d *Driver) query(ctx context.Context, from *hosts.Caller, hot bool, n int, at time.Duration) {
	sc := d.opts.Scene
	asked := check.Asked{
		RequestID: fmt.Sprintf("%s-q%d", d.opts.Run, n), Service: sc.Service,
		Query: fmt.Sprintf("%s question %d", d.opts.Run, n), Limit: sc.Limit,
	}
	due := d.start.Add(at)
	ctx, cancel := context.WithDeadline(ctx, due.Add(sc.Deadline.Std()+grace))
	defer cancel()
	res := from.Query(ctx, hosts.QueryRequest{
		Service: sc.Service, ID: asked.RequestID, Deadline: due.Add(sc.Deadline.Std()),
		Query: caller.Query{Query: asked.Query, Limit: sc.Limit}, Retry: sc.RetryRefused,
	})
	now := time.Now()
	s := measure.Sample{At: at, Took: now.Sub(due), Refusal: res.Refusal, Hot: hot, Outcome: measure.OutcomeError}
	s.Late = s.Took > sc.Deadline.Std()+lateness
	if res.Err == nil {
		s.Outcome, s.Share, s.Shards = res.Answer.Outcome, res.Answer.Coverage.Share, res.Answer.Snapshot.Shards
	}
	d.note(s, asked, res)
}

const (
	// grace is how much longer than the deadline a caller waits for the answer that was cut off at the deadline to arrive.
	grace = 300 * time.Millisecond
	// lateness is how far over its deadline an answer may arrive and still count as in time: the way back and the machine's scheduling.
	lateness = 15 * time.Millisecond
)

func (d *Driver) note(s measure.Sample, asked check.Asked, res hosts.QueryResult) {
	var lies []check.Lie
	if res.Err == nil {
		lies = check.Answer(asked, res.Answer)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, s)
	d.lies = append(d.lies, lies...)
	if res.Err != nil || s.Outcome == caller.OutcomeRefused {
		return
	}
	d.needed += s.Shards
	d.worst = append(d.worst, scored{answer: res.Answer, score: (1-s.Share)*1000 + s.Took.Seconds()})
	slices.SortFunc(d.worst, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	d.worst = d.worst[:min(len(d.worst), keptWorst)]
}

// sendPoison plays a caller that sends a query again and again, each time as a new request, though it crashes what runs it.
func (d *Driver) sendPoison(ctx context.Context) {
	p := d.opts.Scene.Poison
	for n := range p.Times {
		at := p.At.Std() + time.Duration(n)*p.Every.Std()
		if !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		deadline := time.Now().Add(d.opts.Scene.Deadline.Std())
		askCtx, cancel := context.WithDeadline(ctx, deadline.Add(grace))
		// What it gets does not matter; what it does to the others does.
		_ = d.callers[n%len(d.callers)].Query(askCtx, hosts.QueryRequest{
			Service: d.opts.Scene.Service, ID: fmt.Sprintf("%s-poison%d", d.opts.Run, n), Deadline: deadline,
			Query: caller.Query{Query: p.Text, Limit: d.opts.Scene.Limit},
		})
		cancel()
	}
}

func (d *Driver) sendWrites(ctx context.Context) {
	w := d.opts.Scene.Writes
	if w.Rate <= 0 {
		return
	}
	arrive := arrivals.New(w.Rate, d.opts.Seed+1)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		at := arrive.Next()
		if at > d.opts.Scene.Duration.Std() || !sleepUntil(ctx, d.start.Add(at)) {
			return
		}
		from := d.callers[n%len(d.callers)]
		wg.Go(func() { d.write(ctx, from, n) })
	}
}

func (d *Driver) write(ctx context.Context, from *hosts.Caller, n int) {
	ctx, cancel := context.WithTimeout(ctx, writeDeadline)
	defer cancel()
	op := fmt.Sprintf("%s-w%d", d.opts.Run, n)
	res, err := from.Write(ctx, d.opts.Scene.Writes.Service, caller.Write{OpID: op, Payload: json.RawMessage(`{"bundles":1}`)})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.told["not_sent"]++
		d.reasons["not_sent: "+err.Error()]++
		return
	}
	d.writes = append(d.writes, check.Write{OpID: op, Told: res.Told})
	d.told[string(final(res.Told))]++
	if outcome := final(res.Told); outcome != caller.WriteDone {
		d.reasons[string(outcome)+": "+res.Reason]++
	}
}

// final is what the caller knows in the end: an unknown outcome is settled by a later certain one.
func final(told []caller.WriteOutcome) caller.WriteOutcome { return told[len(told)-1] }

func (d *Driver) fault(ctx context.Context, f scene.Fault) {
	if !sleepUntil(ctx, d.start.Add(f.At.Std())) {
		return
	}
	body, err := f.Body()
	if err != nil {
		d.fail(err)
		return
	}
	if f.Service == "" {
		d.fail(truth.Command(ctx, d.opts.Platform, body))
		return
	}
	for _, fleet := range d.opts.Fleets {
		if fleet.Service != f.Service {
			continue
		}
		for _, i := range f.Replicas {
			d.fail(fleet.Command(ctx, i, body))
		}
	}
}

// mended ends every fault that lasts, so that the next run starts from healthy upstreams.
const mended = `{"slow":1,"straggler_share":0,"shed_share":0,"draining":false,"claim_load":"","claim_lag":"0s","crash_marker":"","lose_replies":0,"reset_before":0,"foreign":0}`

// mend ends the faults of the run; a replica that is down can't be told, and comes back without them by itself.
func (d *Driver) mend() {
	ctx, cancel := context.WithTimeout(context.Background(), writeDeadline)
	defer cancel()
	for _, f := range d.opts.Scene.Faults {
		if f.Service == "" {
			_ = truth.Command(ctx, d.opts.Platform, json.RawMessage(`{}`))
			continue
		}
		for _, fleet := range d.opts.Fleets {
			if fleet.Service != f.Service {
				continue
			}
			for _, i := range f.Replicas {
				_ = fleet.Command(ctx, i, json.RawMessage(mended))
			}
		}
	}
}

// fail notes a fault that could not be set as an untruth of the run itself, so that the run does not count as one with the fault.
func (d *Driver) fail(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lies = append(d.lies, check.Lie{Kind: "fault_not_set", Detail: err.Error()})
}

func (d *Driver) watchTruths(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(truthEvery)) {
		for _, f := range d.opts.Fleets {
			f.Read(ctx)
		}
	}
}

func (d *Driver) readTruths(ctx context.Context) {
	for _, f := range d.opts.Fleets {
		f.Read(ctx)
	}
}

// counts is what the replicas have counted since they started.
type counts struct{ requests, crashes int }

func (d *Driver) counts() counts {
	var c counts
	for _, f := range d.opts.Fleets {
		if f.Service == d.opts.Scene.Service {
			c.requests += f.Requests()
			c.crashes += f.Crashes()
		}
	}
	return c
}

func (d *Driver) cpuTime() time.Duration {
	var sum time.Duration
	for _, pid := range d.opts.PIDs {
		// A host that was killed meanwhile is left out.
		used, err := cpu.Of(pid)
		if err == nil {
			sum += used
		}
	}
	return sum
}

func (d *Driver) summary(before counts, cpuUsed time.Duration) measure.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	sc := d.opts.Scene
	sum := measure.Summarize(d.samples, sc.Warmup.Std(), sc.Duration.Std())
	sum.Scene, sum.Writes, sum.WriteReasons = sc.Name, d.told, d.reasons
	after := d.counts()
	sum.Sent, sum.Needed, sum.Crashes = after.requests-before.requests, d.needed, after.crashes-before.crashes
	if sum.Needed > 0 {
		sum.Extra = float64(sum.Sent)/float64(sum.Needed) - 1
	}
	if len(d.samples) > 0 {
		sum.CPUPerQueryMS = cpuUsed.Seconds() * 1000 / float64(len(d.samples))
	}
	ran := map[string]int{}
	for _, f := range d.opts.Fleets {
		sum.LostTruths += f.Lost()
		sum.AfterDrainMS = max(sum.AfterDrainMS, f.AfterDrain())
		peak, refused := f.Peak()
		sum.PeakConnections = max(sum.PeakConnections, peak)
		sum.RefusedConnections += refused
		for op, n := range f.Ran() {
			ran[op] += n
		}
	}
	d.lies = append(d.lies, check.Writes(d.writes, ran)...)
	for i, l := range d.lies {
		if i == maxLies {
			sum.Lies = append(sum.Lies, fmt.Sprintf("and %d more", len(d.lies)-maxLies))
			break
		}
		sum.Lies = append(sum.Lies, string(l.Kind)+": "+l.Detail)
	}
	return sum
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
