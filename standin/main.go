// Command standin simulates the systems around guavaspring in tests and demonstrations: the platform and the upstreams.
package main

import (
	"io"
	"os"

	klog "github.com/go-kratos/kratos/v2/log"

	"guavaspring.org/core/event"
	"guavaspring.org/core/settings"
)

// command is a subcommand; run returns when it has finished.
type command struct {
	name string
	run  func() error
}

func main() {
	app := settings.New("standin", "Simulates the platform and the upstreams of guavaspring.")
	commands := []command{platformCommand(app), upstreamCommand(app), indexCommand(app)}
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		settings.Fail(os.Stderr, "standin", err)
	}
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	for _, c := range commands {
		if c.name != chosen {
			continue
		}
		if err := c.run(); err != nil {
			event.NewLogger(os.Stderr).Error(err, "stand-in ended")
			os.Exit(1)
		}
	}
}
