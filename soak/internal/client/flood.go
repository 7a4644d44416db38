package client

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"guavaspring.org/platform/platformtest"
)

const (
	// unfinishedLines is the number of short lines in the unfinished header of a flood.
	unfinishedLines = 7000
	// announcedBody is the announced size of the unfinished body of a flood, and sentBody the part of it that is sent.
	announcedBody, sentBody = 65_000, 60_000
)

// Flood opens n connections to the address for client requests and sends an unfinished request on each: half of them end in
// the header, half in the body. The connections stay open until ctx ends, unless the host closes them.
func Flood(ctx context.Context, addr string, n int) {
	start := platformtest.RequestStart(http.MethodPost, "search.example", "/desk/x", "unfinished")
	unfinished := []string{
		start + strings.Repeat("X-Y: z\r\n", unfinishedLines),
		start + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", announcedBody, strings.Repeat("x", sentBody)),
	}
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { sendUnfinished(ctx, addr, unfinished[i%len(unfinished)]) })
	}
	all.Wait()
}

func sendUnfinished(ctx context.Context, addr, request string) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	if _, err := io.WriteString(c, request); err != nil {
		return
	}
	// The host closes the connection, or the flood ends.
	_, _ = io.Copy(io.Discard, c)
}
