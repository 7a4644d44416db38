package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/alecthomas/kingpin/v2"
)

const portAttempts = 100

func portsCommand(app *kingpin.Application) command {
	cmd := app.Command("ports", "Print the first of so many free ports in a row on the loopback address, for scripts.")
	n := cmd.Arg("count", "How many ports.").Required().Int()
	return command{cmd.FullCommand(), func() error {
		for range portAttempts {
			if base, ok := freePorts(*n); ok {
				fmt.Println(base)
				return nil
			}
		}
		return fmt.Errorf("found no %d consecutive free ports in %d attempts", *n, portAttempts)
	}}
}

// The range of ports lies below the ephemeral ports of Linux, which an outgoing connection could take at any time.
const (
	lowestPort  = 12000
	highestPort = 32000
)

func freePorts(n int) (base int, ok bool) {
	base = lowestPort + rand.IntN(highestPort-lowestPort-n)
	var lc net.ListenConfig
	for i := range n {
		l, err := lc.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
		if err != nil {
			return 0, false
		}
		defer l.Close()
	}
	return base, true
}
