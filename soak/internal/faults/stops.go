package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/world"
)

const (
	// StopGrace is the time between SIGTERM and SIGKILL of a planned stop.
	StopGrace = 6 * time.Second
	// startDelay is the time from the end of a process to the start of the next one.
	startDelay = 300 * time.Millisecond
	// inTurn is the time between two stops where all hosts are stopped in turn.
	inTurn = time.Second
	// maxBetweenStops is the longest time between two rounds of stops.
	maxBetweenStops = 3 * time.Second
	// startTime is about the time from the start of a process to its first request.
	startTime = 60 * time.Millisecond
	// maxUptime is the longest time from a start to a stop directly after it.
	maxUptime = 1500 * time.Millisecond
	// longReplicas is the number of replicas of the service with long work for each host.
	longReplicas = 2
	// maxSlowFor is the longest time for which replicas are slow or silent.
	maxSlowFor = 8 * time.Second
	// maxBetweenChanges is the longest time between two planned changes.
	maxBetweenChanges = 3 * time.Second
	// throttledSeeds is the number of seeds of which one throttles the hosts.
	throttledSeeds = 3
	// throttleRun and throttleCycle are the share of the time for which a throttled host runs.
	throttleRun, throttleCycle = 40 * time.Millisecond, 100 * time.Millisecond
)

// idleTimeouts are the limits for idle connections: one is shorter than a stop, one is longer.
var idleTimeouts = [...]time.Duration{4 * time.Second, 15 * time.Second}

// Stops plans stops of hosts, with nothing else broken: replicas may be slow, and are replaced as planned.
type Stops struct {
	*Driver
	// IdleTimeout is the limit for idle connections in the configuration, set by Setup.
	IdleTimeout time.Duration
	// Still leaves the hosts running.
	Still bool
	// throttled means that the hosts get little processor time.
	throttled bool
	mu        sync.Mutex
	stopping  map[*hosts.Host]bool
}

// Setup adds the replicas of the service with long work, and all others, and writes the first configuration.
func (s *Stops) Setup() error {
	s.throttled = s.Rand.IntN(throttledSeeds) == 0
	s.stopping = map[*hosts.Host]bool{}
	s.IdleTimeout = idleTimeouts[s.Rand.IntN(len(idleTimeouts))]
	s.World.Extend = func(config string) string { return world.AddLongRoutes(config, s.IdleTimeout) }
	for range longReplicas * len(s.Hosts) {
		if _, err := s.World.Add(world.LongService); err != nil {
			return fmt.Errorf("planned stops: %w", err)
		}
	}
	return s.Driver.Setup()
}

// Run stops hosts, slows replicas down and makes planned changes until ctx is done.
func (s *Stops) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	slow, changes := s.split(), s.split()
	all.Go(func() { s.slowReplicas(ctx, slow) })
	all.Go(func() {
		d := *s.Driver
		d.Rand = changes
		d.change(ctx)
	})
	if s.throttled {
		s.Logf("hosts run %v of each %v", throttleRun, throttleCycle)
		for _, h := range s.Hosts {
			all.Go(func() { h.Throttle(ctx, throttleRun, throttleCycle) })
		}
	}
	for ctx.Err() == nil {
		if !s.Still {
			s.round(ctx, &all)
		}
		sleep(ctx, time.Duration(s.Rand.Int64N(int64(maxBetweenStops))))
	}
}

// split returns a source of its own for another goroutine, so that a seed repeats its values.
func (s *Stops) split() *rand.Rand { return rand.New(rand.NewPCG(s.Rand.Uint64(), s.Rand.Uint64())) }

// change makes planned changes until ctx is done.
func (d *Driver) change(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(d.Rand.Int64N(int64(maxBetweenChanges))))
		d.plannedChange(ctx)
	}
}

// round starts one round of stops.
func (s *Stops) round(ctx context.Context, all *sync.WaitGroup) {
	order := s.Rand.Perm(len(s.Hosts))
	n, between := 1, time.Duration(0)
	switch s.Rand.IntN(5) {
	case 0:
		n = 2
	case 1:
		n, between = len(order), inTurn
	case 2:
		n, between = 1+s.Rand.IntN(len(order)/2), time.Duration(s.Rand.Int64N(int64(inTurn)))
	}
	for _, i := range order[:n] {
		stop := s.plan(s.Hosts[i])
		all.Go(func() { stop(ctx) })
		sleep(ctx, between)
	}
}

// plan returns one or two stops of a host, whose random values are drawn here.
func (s *Stops) plan(h *hosts.Host) func(ctx context.Context) {
	type extra struct {
		sig syscall.Signal
		at  time.Duration
	}
	draw := func() (list []extra) {
		for range s.Rand.IntN(3) {
			e := extra{sig: syscall.SIGHUP, at: time.Duration(s.Rand.Int64N(int64(StopGrace)))}
			if s.Rand.IntN(2) == 0 {
				e.sig = syscall.SIGTERM
			}
			list = append(list, e)
		}
		return list
	}
	hupBefore := s.Rand.IntN(4) == 0
	before := time.Duration(s.Rand.Int64N(int64(time.Second)))
	first, second := draw(), draw()
	again := s.Rand.IntN(4) == 0
	uptime := time.Duration(s.Rand.Int64N(int64(maxUptime)))
	if s.Rand.IntN(2) == 0 {
		uptime = time.Duration(s.Rand.Int64N(int64(startTime)))
	}
	hupAgain := s.Rand.IntN(2) == 0
	return func(ctx context.Context) {
		if !s.claim(h) {
			return
		}
		defer s.release(h)
		if hupBefore {
			h.Signal(syscall.SIGHUP)
			sleep(ctx, before)
		}
		stopOnce := func(list []extra) {
			s.Logf("stop %s", h.Name())
			h.Signal(syscall.SIGTERM)
			for _, e := range list {
				stop := time.AfterFunc(e.at, func() { h.Signal(e.sig) })
				defer stop.Stop()
			}
			if !h.Wait(StopGrace) {
				s.Logf("kill %s", h.Name())
				h.Signal(syscall.SIGKILL)
				h.Wait(grace)
			}
			for _, e := range list {
				s.Logf("also sent to %s: %s after %v", h.Name(), e.sig, e.at.Round(time.Millisecond))
			}
		}
		stopOnce(first)
		sleep(ctx, startDelay)
		s.start(ctx, h)
		if again && ctx.Err() == nil {
			sleep(ctx, uptime)
			if hupAgain {
				h.Signal(syscall.SIGHUP)
				sleep(ctx, uptime/2)
			}
			stopOnce(second)
			sleep(ctx, startDelay)
			s.start(ctx, h)
		}
	}
}

// claim reports whether the host is not being stopped, and marks it.
func (s *Stops) claim(h *hosts.Host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping[h] {
		return false
	}
	s.stopping[h] = true
	return true
}

func (s *Stops) release(h *hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stopping, h)
}

// slowReplicas makes some or all replicas slower, silent, or end their replies with the connection, for some time, again and
// again until ctx is done.
func (s *Stops) slowReplicas(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(r.Int64N(int64(maxBetweenStops))))
		p, some := drawPace(r), r.IntN(2) == 0
		var list []*world.Replica
		for _, x := range s.World.Replicas() {
			if !some || r.IntN(3) == 0 {
				list = append(list, x)
			}
		}
		t := time.Duration(r.Int64N(int64(maxSlowFor)))
		s.Logf("%d replicas: %+v for %v", len(list), p, t.Round(time.Millisecond))
		for _, x := range list {
			x.SetPace(p)
		}
		sleep(ctx, t)
		for _, x := range list {
			x.SetPace(world.Pace{})
		}
	}
}

func drawPace(r *rand.Rand) world.Pace {
	switch r.IntN(8) {
	case 0:
		return world.Pace{Silent: true}
	case 1:
		return world.Pace{Unframed: true}
	case 2:
		return world.Pace{Slower: 8}
	case 3:
		return world.Pace{Slower: 8, Unframed: true}
	case 4:
		return world.Pace{Stalls: true}
	case 5:
		return world.Pace{Trickles: true}
	}
	return world.Pace{Slower: 4}
}
