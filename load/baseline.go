package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/settings"
	"guavaspring.org/load/internal/baseline"
)

func baselineCommand(app *kingpin.Application) command {
	cmd := app.Command("baseline", "Serve queries by the plain policy: a random replica for each shard, no hedge, no retry, no admission.")
	opts := baseline.Options{}
	listen := settings.AddrPort(cmd.Flag("listen", "IP:port for callers.").Required())
	plat := settings.AddrPort(cmd.Flag("platform", "IP:port of the platform stand-in.").Required())
	cmd.Flag("zone", "Availability zone.").Default("zone-a").StringVar(&opts.Zone)
	cmd.Flag("seats", "Most connections to each replica.").Default("5").IntVar(&opts.MaxConnections)
	cmd.Flag("deadline", "Deadline of a request that names none.").Default("400ms").DurationVar(&opts.Deadline)
	return command{cmd.FullCommand(), func() error {
		klog.SetLogger(klog.NewStdLogger(io.Discard))
		opts.Listen, opts.Platform = *listen, *plat
		srv, err := baseline.New(opts)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go srv.Follow(ctx)
		if err := kratos.New(kratos.Server(srv.HTTP())).Run(); err != nil {
			return fmt.Errorf("baseline: %w", err)
		}
		return nil
	}}
}
