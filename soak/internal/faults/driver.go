package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/soak/internal/check"
	"guavaspring.org/soak/internal/client"
	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/proxy"
	"guavaspring.org/soak/internal/world"
)

const (
	// maxFaultTime bounds the random part of the duration of a fault; every fault lasts a tenth of it longer.
	maxFaultTime = 3 * time.Second
	// quietPeriod is the time without faults after each round.
	quietPeriod = 5 * time.Second
	// maxFaultsPerRound is the maximum number of faults in one round.
	maxFaultsPerRound = 3
	// lateReplyFaults is the number of faults of which one makes replicas reject and reply twice, if enabled.
	lateReplyFaults = 3
	// garbledReplyFaults is the number of faults of which one garbles replies, if enabled.
	garbledReplyFaults = 2
	// floodFaults is the number of faults of which one floods a host with unfinished requests, if enabled, and floodConns the
	// number of connections of a flood.
	floodFaults, floodConns = 3, 2000
	// drainTime is how long a draining replica may still receive requests.
	drainTime = 3 * time.Second
	// grace is the time between SIGTERM and SIGKILL, and the maximum wait for a killed process to exit.
	grace = 2 * time.Second
)

// Driver injects faults into hosts, links, the store and replicas.
type Driver struct {
	Rand  *rand.Rand
	World *world.World
	Hosts []*hosts.Host
	Check *check.Checker
	// Restarts enables the fault that kills a replica, which restarts under the same id. Without it a seed produces the
	// same sequence of faults as before this fault existed.
	Restarts bool
	// LateReplies enables the fault that makes all replicas reject requests and reply twice. Without it a
	// seed produces the faults that it would produce if this one did not exist.
	LateReplies bool
	// GarbledReplies enables the fault that garbles replies. Without it a seed produces the faults that it would produce if this
	// one did not exist.
	GarbledReplies bool
	// UnfinishedRequests enables the fault that floods a host with unfinished requests. Without it a seed produces the faults
	// that it would produce if this one did not exist.
	UnfinishedRequests bool
	// Logf logs each fault and change.
	Logf func(format string, args ...any)

	version int
	shards  []string
}

// Setup adds the first replicas and writes the first configuration.
func (d *Driver) Setup() error {
	for _, service := range []string{"s1", "s2", "s3", "desk"} {
		for range 3 {
			if _, err := d.World.Add(service); err != nil {
				return err
			}
		}
	}
	d.shards = []string{"s1", "s2", "s3"}
	d.version = 3
	d.World.SetConfig(d.version, d.shards, "desk")
	return nil
}

// Run injects rounds of faults until ctx is done. Each round is followed by a time without faults and a planned change.
func (d *Driver) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var round sync.WaitGroup
		for range 1 + d.Rand.IntN(maxFaultsPerRound) {
			act := d.randomFault()
			round.Go(func() { act(ctx) })
			sleep(ctx, time.Duration(d.Rand.Int64N(int64(time.Second))))
		}
		round.Wait()
		sleep(ctx, quietPeriod)
		if ctx.Err() == nil {
			d.plannedChange(ctx)
		}
	}
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

// randomFault returns a fault. All its random values are drawn here, outside the goroutines, so that a seed repeats
// them.
func (d *Driver) randomFault() func(ctx context.Context) {
	h := d.Hosts[d.Rand.IntN(len(d.Hosts))]
	list := d.World.Replicas()
	r := list[d.Rand.IntN(len(list))]
	t := time.Duration(d.Rand.Int64N(int64(maxFaultTime))) + maxFaultTime/10
	fault := []proxy.Fault{proxy.Delay, proxy.Silent, proxy.OneWay, proxy.Refuse}[d.Rand.IntN(4)]
	if d.LateReplies && d.Rand.IntN(lateReplyFaults) == 0 {
		return func(context.Context) { d.reject(t) }
	}
	if d.GarbledReplies && d.Rand.IntN(garbledReplyFaults) == 0 {
		how := world.Garblings[d.Rand.IntN(len(world.Garblings))]
		faulty := d.Rand.Perm(len(list))[:1+d.Rand.IntN(len(list)/2)]
		return func(context.Context) { d.garble(list, faulty, how, t) }
	}
	if d.UnfinishedRequests && d.Rand.IntN(floodFaults) == 0 {
		return func(ctx context.Context) { d.flood(ctx, h, t) }
	}
	switch d.Rand.IntN(9) {
	case 0:
		return func(ctx context.Context) { d.kill(ctx, h, t) }
	case 1:
		return func(ctx context.Context) { d.stop(ctx, h) }
	case 2:
		return func(ctx context.Context) { d.pause(ctx, h, t) }
	case 3, 4:
		return func(ctx context.Context) { d.storeLinkFault(ctx, h, fault, t) }
	case 5:
		return func(ctx context.Context) { d.storeOutage(ctx, t) }
	case 6:
		return func(context.Context) { d.loseStoreHistory() }
	case 7:
		if d.Restarts {
			return func(context.Context) { d.restart(r, t) }
		}
		fallthrough
	default:
		return func(ctx context.Context) { d.replicaLinkFault(ctx, r, fault, t) }
	}
}

func (d *Driver) kill(ctx context.Context, h *hosts.Host, t time.Duration) {
	d.Logf("kill %s, back after %v", h.Name(), t)
	h.Signal(syscall.SIGKILL)
	h.Wait(grace)
	sleep(ctx, t)
	d.start(ctx, h)
}

func (d *Driver) stop(ctx context.Context, h *hosts.Host) {
	d.Logf("stop %s", h.Name())
	h.Signal(syscall.SIGTERM)
	if !h.Wait(grace) {
		h.Signal(syscall.SIGKILL)
		h.Wait(grace)
	}
	d.start(ctx, h)
}

func (d *Driver) start(ctx context.Context, h *hosts.Host) {
	if ctx.Err() != nil {
		return
	}
	if err := h.Start(context.WithoutCancel(ctx)); err != nil {
		d.Logf("start %s: %v", h.Name(), err)
	}
}

func (d *Driver) pause(ctx context.Context, h *hosts.Host, t time.Duration) {
	d.Logf("pause %s for %v", h.Name(), t)
	h.Signal(syscall.SIGSTOP)
	sleep(ctx, t)
	h.Signal(syscall.SIGCONT)
}

func (d *Driver) storeLinkFault(ctx context.Context, h *hosts.Host, f proxy.Fault, t time.Duration) {
	d.Logf("link of %s to the store: %s for %v", h.Name(), f, t)
	h.Disturb()
	h.Store.Set(f)
	sleep(ctx, t)
	h.Store.Set(proxy.None)
	h.Store.Reset()
	h.Disturb()
}

func (d *Driver) storeOutage(ctx context.Context, t time.Duration) {
	d.Logf("store away for %v", t)
	d.disturbAll()
	d.World.Store.Fail(http.StatusServiceUnavailable)
	sleep(ctx, t)
	d.World.Store.Fail(0)
	d.disturbAll()
}

func (d *Driver) loseStoreHistory() {
	d.Logf("store forgets its history")
	d.disturbAll()
	d.World.Store.DropHistory()
}

func (d *Driver) replicaLinkFault(ctx context.Context, r *world.Replica, f proxy.Fault, t time.Duration) {
	d.Logf("link to %s: %s for %v", r.ID, f, t)
	r.Proxy.Set(f)
	sleep(ctx, t)
	r.Proxy.Set(proxy.None)
	r.Proxy.Reset()
}

// restart kills a replica, which starts again under the same id. Draining replicas are left alone.
func (d *Driver) restart(r *world.Replica, t time.Duration) {
	if left, _ := r.Drained(); !left.IsZero() {
		return
	}
	d.Logf("kill %s, back under its id after %v", r.ID, t)
	r.Restart(t)
}

// reject makes all replicas reject most requests and send some replies a second time.
func (d *Driver) reject(t time.Duration) {
	d.Logf("replicas reject and reply twice for %v", t)
	var all sync.WaitGroup
	for _, r := range d.World.Replicas() {
		all.Go(func() { r.Reject(t) })
	}
	all.Wait()
}

// garble makes some of the replicas garble replies.
func (d *Driver) garble(list []*world.Replica, faulty []int, how world.Garbling, t time.Duration) {
	d.Logf("%d of %d replicas send garbled replies, %s, for %v", len(faulty), len(list), how, t)
	var all sync.WaitGroup
	for _, i := range faulty {
		all.Go(func() { list[i].Garble(how, t) })
	}
	all.Wait()
}

// flood sends unfinished requests to a host.
func (d *Driver) flood(ctx context.Context, h *hosts.Host, t time.Duration) {
	d.Logf("%d unfinished requests to %s for %v", floodConns, h.Name(), t)
	h.Disturb()
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	client.Flood(ctx, h.Front(), floodConns)
	h.Disturb()
}

func (d *Driver) disturbAll() {
	for _, h := range d.Hosts {
		h.Disturb()
	}
}

// plannedChange changes the configuration or replaces a replica while there are no faults.
func (d *Driver) plannedChange(ctx context.Context) {
	if d.Rand.IntN(2) == 0 {
		d.configure()
		return
	}
	list := d.World.Replicas()
	r := list[d.Rand.IntN(len(list))]
	if left, _ := r.Drained(); !left.IsZero() {
		d.configure()
		return
	}
	d.Logf("replace %s", r.ID)
	if _, err := d.World.Add(r.Service); err != nil {
		d.Logf("replace %s: %v", r.ID, err)
		return
	}
	r.Drain()
	sleep(ctx, drainTime+time.Second)
	d.Check.CheckDrained(r, drainTime)
	d.World.Store.Delete("servers", r.ID)
}

// configure writes a new version with one shard that no other version has, so that the parts of a response identify its
// version.
func (d *Driver) configure() {
	d.version += 1 + d.Rand.IntN(4)
	extra := fmt.Sprintf("x%d", d.version)
	if _, err := d.World.Add(extra); err != nil {
		d.Logf("configure: %v", err)
		return
	}
	d.Logf("version %d", d.version)
	d.World.SetConfig(d.version, append([]string{extra}, d.shards...), "desk")
	d.Check.Changed(time.Now())
}
