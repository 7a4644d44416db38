// Command entry runs an entry host, which accepts queries and writes from callers and runs them on upstream replicas.
package main

import (
	"context"
	"io"
	"os"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/event"
	"guavaspring.org/core/settings"
	"guavaspring.org/entry/internal/host"
	"guavaspring.org/entry/internal/signals"
	platsettings "guavaspring.org/platform/settings"
)

func main() {
	stop, hup := signals.Register()
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	if path, ok := platsettings.Path(); ok {
		runFromSettings(stop, hup, path)
		return
	}
	app := settings.New("entry", "Serves queries and writes of callers over the replicas of the services described on the platform.")
	listen := settings.AddrPort(app.Flag("listen", "IP:port for callers and operators.").Required())
	peer := settings.AddrPort(app.Flag("peer", "IP:port for the other hosts.").Required())
	seeds := settings.AddrPorts(app.Flag("seeds", "IP:port,... of other hosts to join; further hosts are discovered through the platform."))
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
	if err := h.Run(signals.StopAt(stop, hup)); err != nil {
		log.Error(err, "host failed")
		os.Exit(1)
	}
}

// logCloseTimeout is the longest time for which an exiting process waits for the reader of its log to take the buffered
// lines.
const logCloseTimeout = 100 * time.Millisecond

// runFromSettings runs a host with the settings file at path until stop ends, and reads the file again for each value of
// hup. It exits with status 1 if the host fails.
func runFromSettings(stop context.Context, hup <-chan os.Signal, path string) {
	s, err := platsettings.Read(path)
	if err != nil {
		settings.Fail(os.Stderr, "entry", err)
	}
	out := event.NewAsync(os.Stdout)
	log := event.NewLogger(out)
	err = runHost(stop, hup, path, s, log, out.Dropped)
	if err != nil {
		log.Error(err, "host failed")
	}
	deadline := make(chan struct{})
	time.AfterFunc(logCloseTimeout, func() { close(deadline) })
	out.Close(deadline)
	if err != nil {
		os.Exit(1)
	}
}
