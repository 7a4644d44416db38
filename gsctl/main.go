// Command gsctl is the operator's tool: it checks and applies a service's document, and shows what the system reports.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"

	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/settings"
	"guavaspring.org/gsctl/internal/customers"
	"guavaspring.org/gsctl/internal/hostcosts"
	"guavaspring.org/gsctl/internal/hostlog"
	"guavaspring.org/gsctl/internal/operator"
)

func main() {
	app := settings.New("gsctl", "Checks and applies the document of a service and shows what the system reports of it.")
	plat := settings.AddrPort(app.Flag("platform", "IP:port of the platform's object API."))
	timeout := app.Flag("timeout", "How long a command may take; watching has no limit.").Default("10s").Duration()
	check := app.Command("check", "Check a document without applying it.")
	checkFile := check.Arg("file", "The document.").Required().String()
	get := app.Command("get", "Print a service's document, ready to be edited and applied.")
	getService := get.Arg("service", "Name of the service.").Required().String()
	apply := app.Command("apply", "Propose a document, if nobody has changed it since it was taken.")
	applyFile := apply.Arg("file", "The document.").Required().String()
	status := app.Command("status", "Print what the system reports of a service, or of all.")
	statusService := status.Arg("service", "Name of the service.").String()
	statusWatch := status.Flag("watch", "Go on printing every change until interrupted.").Bool()
	explain := app.Command("explain", "Print why an answer came out as it did.")
	explainID := explain.Arg("id", "The answer's explanation_id.").Required().String()
	trace := app.Command("trace", "Print what the hosts' logs say of an opaque request, and what its host believed then.")
	traceID := trace.Arg("id", "The request's id.").Required().String()
	traceLogs := trace.Arg("log", "The log of one host; all of them are searched.").Required().Strings()
	traceBefore := trace.Flag("before", "How long before the request's last line the host's changed beliefs are told.").Default("10s").Duration()
	costs := app.Command("costs", "Add up what the hosts' logs say of their traffic between availability zones and of their calls to the platform.")
	costsLogs := costs.Arg("log", "The log of one host or of several.").Required().Strings()
	refusals := app.Command("customers", "Print from the hosts' logs which customers were refused, how often and why; keys by their digests.")
	refusalsLogs := refusals.Arg("log", "The log of one host or of several.").Required().Strings()
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		settings.Fail(os.Stderr, "gsctl", err)
	}
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	client, err := clientFor(cmd, *plat)
	if err != nil {
		settings.Fail(os.Stderr, "gsctl", err)
	}
	o := operator.New(operator.Options{Platform: client, Out: os.Stdout})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	limited, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	switch cmd {
	case check.FullCommand():
		err = o.Check(*checkFile)
	case get.FullCommand():
		err = o.Get(limited, *getService)
	case apply.FullCommand():
		err = o.Apply(limited, *applyFile)
	case status.FullCommand():
		if *statusWatch {
			err = o.Watch(ctx, *statusService)
			break
		}
		err = o.Status(limited, *statusService)
	case explain.FullCommand():
		err = o.Explain(limited, *explainID)
	case trace.FullCommand():
		err = hostlog.New(hostlog.Options{Out: os.Stdout, Before: *traceBefore}).TraceFiles(*traceID, *traceLogs)
	case costs.FullCommand():
		sum := hostcosts.New()
		if err = sum.AddFiles(*costsLogs); err == nil {
			err = sum.Print(os.Stdout)
		}
	case refusals.FullCommand():
		sum := customers.New()
		if err = sum.AddFiles(*refusalsLogs); err == nil {
			err = sum.Print(os.Stdout)
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "gsctl: %v\n", err)
		os.Exit(1)
	}
}

// local are the commands that don't need the platform.
var local = []string{"check", "explain", "trace", "costs", "customers"}

// clientFor returns the platform's client, which only some commands need.
func clientFor(cmd string, addr netip.AddrPort) (*platform.Client, error) {
	if addr.IsValid() {
		return platform.New(addr)
	}
	if slices.Contains(local, strings.Fields(cmd)[0]) {
		return nil, nil
	}
	return nil, errors.New("--platform is needed for this command; it can be set by GSCTL_PLATFORM")
}
