package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/settings"
)

const writeTimeout = 30 * time.Second

func writeCommand(app *kingpin.Application) command {
	cmd := app.Command("write", "Run one write and print what became of it; without a ticket, take one from the host.")
	host := settings.AddrPort(cmd.Flag("host", "IP:port of a host.").Required())
	service := cmd.Flag("service", "Name of the service.").Required().String()
	ticket := cmd.Flag("ticket", "Ticket for that host.").String()
	op := cmd.Arg("operation", "Name of the operation in the service's records.").Required().String()
	return command{cmd.FullCommand(), func() error {
		c, err := caller.New("load", 1)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		req := caller.Request{Host: *host, Service: *service, Ticket: *ticket}
		if req.Ticket == "" {
			if req, err = withTicket(ctx, c, req); err != nil {
				return err
			}
		}
		ans, err := c.Write(ctx, req, caller.Write{OpID: *op})
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", ans.Outcome, ans.Reason)
		return nil
	}}
}

// withTicket requests addresses from the host and takes the first ticket, which may belong to another host.
func withTicket(ctx context.Context, c *caller.Client, req caller.Request) (caller.Request, error) {
	addrs, err := c.Addresses(ctx, req, 1)
	if err != nil {
		return req, err
	}
	for _, a := range addrs.Addresses {
		if len(a.Tickets) > 0 {
			req.Host, req.Ticket = a.Address, a.Tickets[0]
			return req, nil
		}
	}
	return req, fmt.Errorf("host %s gave no ticket for %s; does its document enable writes?", req.Host, req.Service)
}
