package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kratos/kratos/v2"

	"guavaspring.org/core/settings"
	"guavaspring.org/standin/internal/objects"
)

func platformCommand(app *kingpin.Application) command {
	cmd := app.Command("platform", "Serve the platform's object API.")
	listen := settings.AddrPort(cmd.Flag("listen", "IP:port of the object API.").Required())
	opts := objects.Options{}
	cmd.Flag("host-lag", "Delay before a change of the host list becomes visible.").Default("500ms").DurationVar(&opts.HostLag)
	cmd.Flag("writes-per-second", "Limit of writes; 0 for none.").Default("400").IntVar(&opts.WritesPerSecond)
	cmd.Flag("reads-per-second", "Limit of reads and watches; 0 for none.").Default("2000").IntVar(&opts.ReadsPerSecond)
	return command{cmd.FullCommand(), func() error {
		return kratos.New(kratos.Server(objects.New(opts).HTTP(*listen))).Run()
	}}
}
