package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/settings"
)

const queryTimeout = 10 * time.Second

func queryCommand(app *kingpin.Application) command {
	cmd := app.Command("query", "Run one query and print what came back.")
	host := settings.AddrPort(cmd.Flag("host", "IP:port of a host.").Required())
	service := cmd.Flag("service", "Name of the service.").Required().String()
	text := cmd.Arg("query", "The query.").Required().String()
	return command{cmd.FullCommand(), func() error {
		c, err := caller.New("load", 1)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		ans, err := c.Query(ctx, caller.Request{Host: *host, Service: *service}, caller.Query{Query: *text})
		if err != nil {
			return err
		}
		fmt.Printf("%s: snapshot %d, %d of %d shards, %d hits\n", ans.Outcome, ans.Snapshot.Version, ans.Coverage.Answered, ans.Coverage.Shards, len(ans.Hits))
		return nil
	}}
}
