// Command load is the load and experiment tool: it calls hosts as callers do and compares what it gets with the truth.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/settings"
)

func main() {
	app := settings.New("load", "Calls hosts as callers do and reports tail latency, coverage and extra load.")
	one := app.Command("query", "Run one query and print what came back.")
	host := settings.AddrPort(one.Flag("host", "IP:port of a host.").Required())
	service := one.Flag("service", "Name of the service.").Required().String()
	text := one.Arg("query", "The query.").Required().String()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		settings.Fail(os.Stderr, "load", err)
	}
	c, err := caller.New("load", 1)
	if err != nil {
		settings.Fail(os.Stderr, "load", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ans, err := c.Query(ctx, caller.Request{Host: *host, Service: *service}, caller.Query{Query: *text})
	if err != nil {
		fmt.Fprintf(os.Stderr, "load: %v\n", err)
		os.Exit(1)
	}
	fmt.Printf("%s: snapshot %d, %d of %d shards, %d hits\n", ans.Outcome, ans.Snapshot.Version, ans.Coverage.Answered, ans.Coverage.Shards, len(ans.Hits))
}
