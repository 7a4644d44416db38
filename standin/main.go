// Command standin plays the systems around guavaspring in tests and demonstrations: the platform and the upstreams.
package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/event"
	"guavaspring.org/core/settings"
	"guavaspring.org/standin/internal/fleet"
	"guavaspring.org/standin/internal/objects"
)

func main() {
	app := settings.New("standin", "Plays the platform and the upstreams around guavaspring.")
	plat := app.Command("platform", "Serve the platform's object API.")
	platListen := settings.AddrPort(plat.Flag("listen", "IP:port of the object API.").Required())
	hostLag := plat.Flag("host-lag", "How long changes of the host list stay hidden.").Default("500ms").Duration()

	up := app.Command("upstream", "Serve the replicas of one service.")
	opts := fleet.Options{}
	up.Flag("service", "Name of the service.").Required().StringVar(&opts.Service)
	base := settings.AddrPort(up.Flag("base", "IP:port of the first replica; the others count up.").Required())
	up.Flag("shards", "Number of shards.").Default("10").IntVar(&opts.Shards)
	up.Flag("replicas", "Replicas of each shard.").Default("3").IntVar(&opts.Replicas)
	up.Flag("slots", "Requests a replica runs at once.").Default("5").IntVar(&opts.Slots)
	up.Flag("connections", "Connections a replica accepts.").Default("40").IntVar(&opts.Connections)
	up.Flag("connect-cost", "Time a new connection costs.").Default("6ms").DurationVar(&opts.ConnectCost)
	up.Flag("service-time", "Time a request takes.").Default("5ms").DurationVar(&opts.ServiceTime)
	zones := up.Flag("zones", "Availability zones, separated by commas.").Default("zone-a,zone-b,zone-c").String()
	upPlatform := settings.AddrPort(up.Flag("platform", "IP:port of the platform stand-in.").Required())

	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		settings.Fail(os.Stderr, "standin", err)
	}
	log := event.NewLogger(os.Stderr)
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	var run *kratos.App
	switch cmd {
	case plat.FullCommand():
		run = kratos.New(kratos.Server(objects.New(*hostLag).HTTP(*platListen)))
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
