// Command gsctl is the operator's command-line tool: it checks and applies service documents, shows their status and
// analyzes the logs of hosts.
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
	"guavaspring.org/core/routeplan"
	"guavaspring.org/core/settings"
	"guavaspring.org/gsctl/internal/customers"
	"guavaspring.org/gsctl/internal/hostcosts"
	"guavaspring.org/gsctl/internal/hostlog"
	"guavaspring.org/gsctl/internal/operator"
	"guavaspring.org/gsctl/internal/routequery"
)

func main() {
	app := settings.New("gsctl", "Checks and applies the document of a service and shows its status.")
	plat := settings.AddrPort(app.Flag("platform", "IP:port of the platform's object API."))
	timeout := app.Flag("timeout", "Time limit of a command; status --watch has none.").Default("10s").Duration()
	check := app.Command("check", "Check a document without applying it.")
	checkFile := check.Arg("file", "The document.").Required().String()
	get := app.Command("get", "Print the document of a service, ready to be edited and applied.")
	getService := get.Arg("service", "Name of the service.").Required().String()
	apply := app.Command("apply", "Propose a document; fails if the stored version is not the one that the file was taken from.")
	applyFile := apply.Arg("file", "The document.").Required().String()
	status := app.Command("status", "Print the status of one service, or of all services.")
	statusService := status.Arg("service", "Name of the service.").String()
	statusWatch := status.Flag("watch", "Print every change of the status until interrupted.").Bool()
	explain := app.Command("explain", "Print the decisions that led to a response.")
	explainID := explain.Arg("id", "The explanation_id of the response.").Required().String()
	trace := app.Command("trace", "Print the log lines of an opaque request, and the changes of its host's state shortly before.")
	traceID := trace.Arg("id", "The id of the request.").Required().String()
	traceLogs := trace.Arg("log", "The log file of a host; may be repeated, all files are searched.").Required().Strings()
	traceBefore := trace.Flag("before", "How long before the last line of the request changes of the host's state are printed.").Default("10s").Duration()
	costs := app.Command("costs", "Sum the traffic between availability zones and the calls to the platform over the hosts' logs.")
	costsLogs := costs.Arg("log", "The log of one host or of several.").Required().Strings()
	refusals := app.Command("customers", "Count the refused requests in the hosts' logs by customer and cause; unknown keys are shown as digests.")
	refusalsLogs := refusals.Arg("log", "The log of one host or of several.").Required().Strings()
	routeCmd := app.Command("route", "Print where a host would send a request now, and why; nothing is sent.")
	routePeer := settings.AddrPort(routeCmd.Flag("peer", "IP:port of the host for other hosts.").Required())
	routeHost := routeCmd.Flag("host", "Host name of the request.").Required().String()
	routePath := routeCmd.Flag("path", "Path of the request.").Required().String()
	routeMethod := routeCmd.Flag("method", "Method of the request.").Default("GET").String()
	routeCustomer := routeCmd.Flag("customer", "Name of the customer; never a key.").String()
	routeJSON := routeCmd.Flag("json", "Print the reply as JSON.").Bool()
	routeAll := routeCmd.Flag("all", "Print the candidates of all shards.").Bool()
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
		err = printSum(hostcosts.New(), *costsLogs)
	case refusals.FullCommand():
		err = printSum(customers.New(), *refusalsLogs)
	case routeCmd.FullCommand():
		q := routequery.New(routequery.Options{Peer: *routePeer, Out: os.Stdout, JSON: *routeJSON, All: *routeAll})
		err = q.Run(limited, routeplan.Args{Host: *routeHost, Path: *routePath, Method: *routeMethod, Customer: *routeCustomer})
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "gsctl: %v\n", err)
		os.Exit(1)
	}
}

// printSum adds up the logs of hosts and prints the sum.
func printSum(sum interface {
	AddFiles(paths []string) error
	Print(w io.Writer) error
}, logs []string) error {
	if err := sum.AddFiles(logs); err != nil {
		return err
	}
	return sum.Print(os.Stdout)
}

// offlineCommands lists the commands that run without the platform.
var offlineCommands = []string{"check", "explain", "trace", "costs", "customers", "route"}

// clientFor returns the platform client, or nil if addr is not set and the command runs without the platform.
func clientFor(cmd string, addr netip.AddrPort) (*platform.Client, error) {
	if addr.IsValid() {
		return platform.New(addr)
	}
	if slices.Contains(offlineCommands, strings.Fields(cmd)[0]) {
		return nil, nil
	}
	return nil, errors.New("--platform is needed for this command; it can be set by GSCTL_PLATFORM")
}
