// Command standin plays the systems around guavaspring in tests and demonstrations: the platform and the upstreams.
package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/event"
	"guavaspring.org/core/settings"
	"guavaspring.org/standin/internal/fault"
	"guavaspring.org/standin/internal/fleet"
	"guavaspring.org/standin/internal/objects"
	"guavaspring.org/standin/internal/replica"
	"guavaspring.org/standin/internal/rollout"
)

func main() {
	app := settings.New("standin", "Plays the platform and the upstreams around guavaspring.")
	plat := app.Command("platform", "Serve the platform's object API.")
	platListen := settings.AddrPort(plat.Flag("listen", "IP:port of the object API.").Required())
	platOpts := objects.Options{}
	plat.Flag("host-lag", "How long changes of the host list stay hidden.").Default("500ms").DurationVar(&platOpts.HostLag)
	plat.Flag("writes-per-second", "Limit of writes; 0 for none.").Default("400").IntVar(&platOpts.WritesPerSecond)
	plat.Flag("reads-per-second", "Limit of reads and watches; 0 for none.").Default("2000").IntVar(&platOpts.ReadsPerSecond)

	up := app.Command("upstream", "Serve the replicas of one service.")
	opts := fleet.Options{}
	up.Flag("service", "Name of the service.").Required().StringVar(&opts.Service)
	base := settings.AddrPort(up.Flag("base", "IP:port of the first replica; the others count up.").Required())
	up.Flag("only", "ID of the one replica to run, such as remnant-finder-3-1, at the port it would have among all.").StringVar(&opts.Only)
	up.Flag("except", "ID of a replica to leave out, since another process runs it.").StringVar(&opts.Except)
	up.Flag("shards", "Number of shards.").Default("10").IntVar(&opts.Shards)
	up.Flag("replicas", "Replicas of each shard.").Default("3").IntVar(&opts.Replicas)
	up.Flag("index-version", "Index version held at first.").Default("1").Int64Var(&opts.Version)
	zones := up.Flag("zones", "Availability zones, separated by commas.").Default("zone-a,zone-b,zone-c").String()
	upPlatform := settings.AddrPort(up.Flag("platform", "IP:port of the platform stand-in.").Required())
	replicaFlags(up, &opts.Replica)

	index := app.Command("index", "Move the replicas of a running service to a new index version, one after another.")
	move := rollout.Options{}
	indexBase := settings.AddrPort(index.Flag("base", "IP:port of the first replica; the others count up.").Required())
	index.Flag("replicas", "Number of replicas in all.").Default("30").IntVar(&move.Replicas)
	index.Flag("old-version", "Version held now.").Default("1").Int64Var(&move.OldVersion)
	index.Flag("old-shards", "Number of shards of the version held now.").Default("10").IntVar(&move.OldShards)
	index.Flag("index-version", "Version to move to.").Default("2").Int64Var(&move.Version)
	index.Flag("shards", "Number of shards of the version to move to.").Default("10").IntVar(&move.Shards)
	index.Flag("step", "Time between two replicas.").Default("100ms").DurationVar(&move.Step)
	index.Flag("overlap", "How long the old version stays once every replica has the new one.").Default("2s").DurationVar(&move.Overlap)

	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		settings.Fail(os.Stderr, "standin", err)
	}
	log := event.NewLogger(os.Stderr)
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	var run *kratos.App
	switch cmd {
	case plat.FullCommand():
		run = kratos.New(kratos.Server(objects.New(platOpts).HTTP(*platListen)))
	case index.FullCommand():
		move.Base = *indexBase
		if err := rollout.Run(context.Background(), move); err != nil {
			log.Error(err, "rollout failed")
			os.Exit(1)
		}
		return
	default:
		opts.Base, opts.Platform, opts.Zones = *base, *upPlatform, strings.Split(*zones, ",")
		f := fleet.New(opts)
		servers, err := f.Servers()
		if err != nil {
			settings.Fail(os.Stderr, "standin", err)
		}
		run = kratos.New(kratos.Server(servers...), kratos.AfterStart(func(ctx context.Context) error { return f.Register(ctx) }))
	}
	if err := run.Run(); err != nil {
		log.Error(err, "stand-in ended")
		os.Exit(1)
	}
}

func replicaFlags(up *kingpin.CmdClause, opts *replica.Options) {
	up.Flag("slots", "Requests a replica runs at once.").Default("5").IntVar(&opts.Slots)
	up.Flag("queue", "Requests that wait for a slot of a replica; more are shed.").Default("5").IntVar(&opts.Queue)
	up.Flag("queue-wait", "How long a request waits for a slot before it is shed.").Default("20ms").DurationVar(&opts.QueueWait)
	up.Flag("connections", "Connections a replica accepts.").Default("40").IntVar(&opts.Connections)
	up.Flag("connect-cost", "Time a new connection costs.").Default("6ms").DurationVar(&opts.ConnectCost)
	up.Flag("service-time", "Mean time of a request.").Default("5ms").DurationVar(&opts.ServiceTime)
	up.Flag("jitter", "Relative spread of the service time.").Default("0.2").Float64Var(&opts.Jitter)
	up.Flag("faults", "What goes wrong from the start, as the JSON object that /control/faults takes.").SetValue(&faultsFlag{&opts.Faults})
}

// faultsFlag reads faults from a flag.
type faultsFlag struct{ faults *fault.Faults }

func (v *faultsFlag) String() string { return "" }

func (v *faultsFlag) Set(s string) error {
	f, err := v.faults.Patch(strings.NewReader(s))
	if err != nil {
		return err
	}
	*v.faults = f
	return nil
}
