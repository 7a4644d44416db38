// Command soak runs real host processes, injects faults and checks the system's guarantees against the requests and
// responses that clients and replicas observe.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/core/settings"
	"guavaspring.org/soak/internal/check"
	"guavaspring.org/soak/internal/client"
	"guavaspring.org/soak/internal/faults"
	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/proxy"
	"guavaspring.org/soak/internal/subnet"
	"guavaspring.org/soak/internal/world"
)

const (
	// firstPort is where the search for free ports begins. Each host has four ports, the same numbers on its own loopback
	// address.
	firstPort, lastPort, portsPerHost = 23000, 32000, 4
	// settleTime is the time that hosts have to discover each other before the first fault.
	settleTime = 3 * time.Second
	// stopTimeout is the maximum wait for a killed host process to exit when the run ends.
	stopTimeout = 3 * time.Second
)

// customers are the customers with --customers; the first one sends far more than its limit.
var customers = []world.Customer{{Name: "greedy", Key: "key-of-greedy-000001", PerSecond: 10}, {Name: "calm", Key: "key-of-calm-00000001", PerSecond: 200}, {Name: "small", Key: "key-of-small-0000001", PerSecond: 60}}

// senders are the senders of the clients with --customers, in turns.
var senders = []client.Sender{
	{Key: customers[0].Key, Customer: true, Hasty: true},
	{Key: customers[1].Key, Customer: true},
	{Key: customers[2].Key, Customer: true},
	{Key: customers[1].Key, Customer: true},
	{},
	{Key: "key-of-nobody-0000001"},
}

func main() {
	app := settings.New("soak", "Injects faults into real host processes on loopback addresses and checks their guarantees.")
	program := app.Flag("entry", "Path of the entry program.").Required().String()
	seed := app.Flag("seed", "Seed of the faults.").Default("1").Uint64()
	length := app.Flag("for", "How long to inject faults.").Default("30s").Duration()
	n := app.Flag("hosts", "Number of hosts.").Default("4").Int()
	clients := app.Flag("clients", "Number of clients.").Default("12").Int()
	restarts := app.Flag("restarts", "Also kill replicas, which restart under the same id.").Bool()
	late := app.Flag("late-replies", "Also make replicas reject requests and send replies a second time.").Bool()
	garbled := app.Flag("garbled-replies", "Also make replicas send malformed, endless, split and early replies.").Bool()
	unfinished := app.Flag("unfinished-requests", "Also flood hosts with unfinished requests.").Bool()
	customers := app.Flag("customers", "Name customers with limits, and kill all hosts at once in place of other faults.").Bool()
	stops := app.Flag("stops", "Stop hosts as planned, with slow replicas and clients that keep connections, in place of other faults.").Bool()
	still := app.Flag("still", "With --stops, stop no host.").Bool()
	habit := app.Flag("habit", "With --stops, give all clients this habit, such as aims; empty for a mix.").Default("").String()
	dir := app.Flag("dir", "Directory of settings and logs; a new temporary directory if empty.").Default("").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s := &soak{program: *program, seed: *seed, length: *length, hosts: *n, clients: *clients, restarts: *restarts, lateReplies: *late, garbledReplies: *garbled, unfinishedRequests: *unfinished, customers: *customers, stops: *stops, still: *still, habit: client.Habit(*habit), dir: *dir, began: time.Now()}
	findings, err := s.run(context.Background())
	if err != nil {
		settings.Fail(os.Stderr, "soak", err)
	}
	if findings > 0 {
		os.Exit(1)
	}
}

type soak struct {
	program        string
	seed           uint64
	length         time.Duration
	hosts, clients int
	restarts       bool
	lateReplies    bool
	garbledReplies bool
	// unfinishedRequests adds floods of unfinished requests.
	unfinishedRequests bool
	// customers names customers with limits, and replaces the other faults by mass restarts.
	customers bool
	// stops replaces the other faults by planned stops, and still leaves out the stops themselves.
	stops, still bool
	// habit is that of all clients of planned stops, empty for a mix.
	habit client.Habit
	dir   string
	began time.Time
	mu    sync.Mutex
}

// logf prints one line with the time since the start in seconds.
func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("%7.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// run executes one soak test and returns the number of findings.
func (s *soak) run(ctx context.Context) (int, error) {
	if s.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return 0, fmt.Errorf("create directory for logs: %w", err)
		}
		s.dir = dir
	}
	w := world.New()
	defer w.Close()
	if s.customers {
		w.Customers = customers
	}
	addrs, err := subnet.Reserve(ctx, s.seed)
	if err != nil {
		return 0, err
	}
	defer addrs.Close()
	list, err := s.newHosts(w, addrs)
	if err != nil {
		return 0, err
	}
	c := check.New(w)
	d := &faults.Driver{Rand: rand.New(rand.NewPCG(s.seed, s.seed)), World: w, Hosts: list, Check: c, Restarts: s.restarts, LateReplies: s.lateReplies, GarbledReplies: s.garbledReplies, UnfinishedRequests: s.unfinishedRequests, Logf: s.logf}
	stops := &faults.Stops{Driver: d, Still: s.still}
	setup, faultsOf, clients := d.Setup, d.Run, s.runClient
	if s.customers {
		faultsOf = d.MassRestarts
	}
	if s.stops {
		w.Zones = zones
		setup, faultsOf = stops.Setup, stops.Run
		clients = func(ctx context.Context, i int, list []*hosts.Host, c *check.Checker) {
			s.runKeeper(ctx, client.KeeperOptions{Number: i, Seed: s.seed, Habit: s.habit, Hosts: list, IdleTimeout: stops.IdleTimeout, Report: c.Record})
		}
		c.CheckStops(list, faults.StopGrace)
	}
	if err := setup(); err != nil {
		return 0, err
	}
	for _, h := range list {
		if err := h.Start(ctx); err != nil {
			return 0, err
		}
	}
	defer stopAll(list)
	time.Sleep(settleTime)
	s.injectFaults(ctx, faultsOf, clients, list, c)
	findings, counts, lines := c.Finish()
	for _, f := range findings {
		s.logf("FINDING %s", f)
	}
	for _, line := range lines {
		s.logf("%s", line)
	}
	most := 0
	for _, h := range list {
		most = max(most, h.MostMemory())
	}
	s.logf("seed %d: %d findings; outcomes %v; most memory %d MB; logs in %s", s.seed, len(findings), counts, most>>20, filepath.Clean(s.dir))
	return len(findings), nil
}

// injectFaults runs the clients and the fault driver until the configured time has passed.
func (s *soak) injectFaults(ctx context.Context, inject func(context.Context), runClient func(context.Context, int, []*hosts.Host, *check.Checker), list []*hosts.Host, c *check.Checker) {
	ctx, cancel := context.WithTimeout(ctx, s.length)
	defer cancel()
	var all sync.WaitGroup
	for i := range s.clients {
		all.Go(func() { runClient(ctx, i, list, c) })
	}
	for _, h := range list {
		all.Go(func() {
			h.WatchMemory(ctx, func(resident int) { c.MemoryExceeded(h.Name(), resident) })
		})
	}
	all.Go(func() { inject(ctx) })
	all.Wait()
}

// runClient runs client number i until ctx ends.
func (s *soak) runClient(ctx context.Context, i int, list []*hosts.Host, c *check.Checker) {
	cl := client.New(i, list, c.Record)
	if s.customers {
		cl.Sender = &senders[i%len(senders)]
	}
	cl.Run(ctx)
}

// runKeeper runs a client that keeps its connections, until ctx ends.
func (s *soak) runKeeper(ctx context.Context, opts client.KeeperOptions) {
	opts.Links = map[string]*proxy.Proxy{}
	for _, h := range opts.Hosts {
		p, err := proxy.New(h.Front())
		if err != nil {
			s.logf("client %d: %v", opts.Number, err)
			return
		}
		defer p.Close()
		p.Set(proxy.Delay)
		opts.Links[h.Front()] = p
	}
	client.NewKeeper(opts).Run(ctx)
}

func (s *soak) newHosts(w *world.World, addrs *subnet.Subnet) ([]*hosts.Host, error) {
	var ips []string
	for i := range s.hosts {
		ips = append(ips, addrs.IP(i))
	}
	first, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var list []*hosts.Host
	for i, ip := range ips {
		h, err := hosts.New(hosts.Options{
			Program: s.program, Dir: s.dir, Name: fmt.Sprintf("h%d", i), IP: ip, Zone: s.zone(i), Port: first,
			Seeds: fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ips[0], first+portsPerHost-1)), StoreAddr: w.StoreAddr(), Bounds: s.bounds(), Grace: s.grace(),
		})
		if err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	return list, nil
}

// bounds returns what is added to the bounds of the hosts' settings.
func (s *soak) bounds() string {
	if !s.customers {
		return ""
	}
	return fmt.Sprintf("quotaSlack = %d\nquotaExcess = %v\n", world.QuotaSlack, world.QuotaExcess)
}

// zones are the availability zones of hosts and replicas with planned stops, where hosts run parts of each other's queries.
var zones = []string{world.Zone, "webberton-room"}

// zone returns the availability zone of host number i.
func (s *soak) zone(i int) string {
	if !s.stops {
		return world.Zone
	}
	return zones[i%len(zones)]
}

// grace returns the time between SIGTERM and SIGKILL in seconds, zero for the usual one.
func (s *soak) grace() int {
	if !s.stops {
		return 0
	}
	return int(faults.StopGrace.Seconds())
}

// stopAll kills the host processes of this run. SIGCONT comes first, as a process may be paused.
func stopAll(list []*hosts.Host) {
	for _, h := range list {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range list {
		h.Wait(stopTimeout)
	}
}

// freePorts returns the first of perHost consecutive ports that are free on every address.
func freePorts(ips []string) (int, error) {
	for first := firstPort; first < lastPort; first += portsPerHost {
		if portsFree(ips, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", portsPerHost)
}

func portsFree(ips []string, first int) bool {
	var cfg net.ListenConfig
	for _, ip := range ips {
		for i := range portsPerHost {
			l, err := cfg.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
