// Command entry is the program of an entry host: it takes queries and writes from callers and runs them on upstream replicas.
package main

import (
	"context"
	"io"
	"os"

	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/core/settings"
	"guavaspring.org/entry/internal/host"
	platsettings "guavaspring.org/platform/settings"
)

func main() {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	if path, ok := platsettings.Path(); ok {
		log := event.NewLogger(os.Stdout)
		if err := runOnPlatform(context.Background(), path, log); err != nil {
			settings.Fail(os.Stderr, "entry", err)
		}
		return
	}
	app := settings.New("entry", "Serves queries and writes of callers over the replicas of the services described on the platform.")
	listen := settings.AddrPort(app.Flag("listen", "IP:port for callers and operators.").Required())
	peer := settings.AddrPort(app.Flag("peer", "IP:port for the other hosts.").Required())
	seeds := settings.AddrPorts(app.Flag("seeds", "IP:port,... of other hosts to join; more are found through the platform."))
	plat := settings.AddrPort(app.Flag("platform", "IP:port of the platform's object API.").Required())
	zone := settings.Name(app.Flag("zone", "Availability zone of this host.").Required())
	region := settings.Name(app.Flag("region", "Region of this host.").Default("local"))
	if _, err := app.Parse(os.Args[1:]); err != nil {
		settings.Fail(os.Stderr, "entry", err)
	}
	log := event.NewLogger(os.Stderr)
	h, err := host.New(host.Options{
		Clock: clock.System{}, Log: log, Listen: *listen, Peer: *peer, Seeds: *seeds,
		Zone: *zone, Region: *region, Platform: *plat,
	})
	if err != nil {
		settings.Fail(os.Stderr, "entry", err)
	}
	if err := h.Run(context.Background()); err != nil {
		log.Error(err, "host ended")
		os.Exit(1)
	}
}
