package main

import (
	"context"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kratos/kratos/v2"

	"guavaspring.org/core/settings"
	"guavaspring.org/standin/internal/fault"
	"guavaspring.org/standin/internal/fleet"
	"guavaspring.org/standin/internal/replica"
)

func upstreamCommand(app *kingpin.Application) command {
	cmd := app.Command("upstream", "Serve the replicas of one service.")
	opts := fleet.Options{}
	cmd.Flag("service", "Name of the service.").Required().StringVar(&opts.Service)
	base := settings.AddrPort(cmd.Flag("base", "IP:port of the first replica; the ports of the others count up.").Required())
	cmd.Flag("only", "ID of the only replica to run, such as remnant-finder-3-1; it keeps its port.").StringVar(&opts.Only)
	cmd.Flag("except", "ID of a replica to skip, because another process runs it.").StringVar(&opts.Except)
	cmd.Flag("shards", "Number of shards.").Default("10").IntVar(&opts.Shards)
	cmd.Flag("replicas", "Replicas of each shard.").Default("3").IntVar(&opts.Replicas)
	cmd.Flag("index-version", "Index version held at the start.").Default("1").Int64Var(&opts.Version)
	zones := cmd.Flag("zones", "Availability zones, separated by commas.").Default("zone-a,zone-b,zone-c").String()
	platform := settings.AddrPort(cmd.Flag("platform", "IP:port of the platform stand-in.").Required())
	replicaFlags(cmd, &opts.Replica)
	return command{cmd.FullCommand(), func() error {
		opts.Base, opts.Platform, opts.Zones = *base, *platform, strings.Split(*zones, ",")
		return serve(fleet.New(opts))
	}}
}

// serve opens the ports before it starts the servers: a port in use is reported as an invalid setting.
func serve(f *fleet.Fleet) error {
	servers, err := f.Servers()
	if err != nil {
		settings.Fail(os.Stderr, "standin", err)
	}
	return kratos.New(kratos.Server(servers...), kratos.AfterStart(func(ctx context.Context) error { return f.Register(ctx) })).Run()
}

func replicaFlags(up *kingpin.CmdClause, opts *replica.Options) {
	up.Flag("slots", "Maximum number of requests that a replica runs concurrently.").Default("5").IntVar(&opts.Slots)
	up.Flag("queue", "Maximum number of requests that wait for a slot of a replica; more are shed.").Default("5").IntVar(&opts.Queue)
	up.Flag("queue-wait", "Maximum wait for a slot before a request is shed.").Default("20ms").DurationVar(&opts.QueueWait)
	up.Flag("connections", "Maximum number of open connections of a replica.").Default("40").IntVar(&opts.Connections)
	up.Flag("connect-cost", "Delay before a new connection is read.").Default("6ms").DurationVar(&opts.ConnectCost)
	up.Flag("service-time", "Mean time of a request.").Default("5ms").DurationVar(&opts.ServiceTime)
	up.Flag("jitter", "Relative spread of the service time.").Default("0.2").Float64Var(&opts.Jitter)
	up.Flag("faults", "Faults from the start, as the JSON object that /control/faults accepts.").SetValue(&faultsFlag{&opts.Faults})
}

// faultsFlag parses the value of the flag --faults.
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
