package world

import (
	"bufio"
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"guavaspring.org/platform/platformtest"
)

// LongService is the service whose replicas work long on each request and have a limited number of slots.
const LongService = "lookup"

// LongWrites is the name of the route to LongService whose requests must not run twice; that of the other is the service's.
const LongWrites = "booking"

// AddLongRoutes returns a configuration with the routes to LongService and another limit for idle client connections.
func AddLongRoutes(config string, idleTimeout time.Duration) string {
	config = platformtest.WithRoutes(config,
		platformtest.Route(LongService, LongService, true, int(LongTimeout.Milliseconds()), int(longObjective.Milliseconds())),
		platformtest.Route(LongWrites, LongService, false, int(LongTimeout.Milliseconds()), int(longObjective.Milliseconds())))
	return platformtest.WithIdleTimeout(config, int(idleTimeout.Milliseconds()))
}

// LargePrefix begins the IDs of requests to LongService that get a large answer.
const LargePrefix = "large"

const (
	// LongTimeout is the timeout of the routes to LongService, and longObjective their latency objective.
	LongTimeout, longObjective = 8 * time.Second, time.Second
	// medianWork, workSpread and maxWork describe the log-normal time of the work in LongService.
	medianWork, workSpread, maxWork = 220 * time.Millisecond, 0.6, 1300 * time.Millisecond
	// slots is the number of requests that a replica of LongService works on at once, and maxWaiting of those that wait.
	slots, maxWaiting = 5, 10
	// minLarge and maxLarge limit the size of a large answer in bytes.
	minLarge, maxLarge = 50_000, 200_000
)

// Ending is what became of a run.
type Ending string

// The endings.
const (
	// Running means that the replica has not answered yet; a silent replica stays so.
	Running Ending = "running"
	// Answered means that the replica has written its reply.
	Answered Ending = "answered"
	// Dropped means that the connection from the host ended before the reply was written.
	Dropped Ending = "dropped"
)

// Run is one run of a request on a replica.
type Run struct {
	Replica      string
	Began, Ended time.Time
	Ending       Ending
}

// Pace is how a replica works on requests.
type Pace struct {
	// Slower multiplies the time of the work; zero means one.
	Slower float64
	// Silent replicas run requests and never answer.
	Silent bool
	// Unframed replies have no length and end with their connection.
	Unframed bool
	// Trickles means that replies are sent in pieces over a second or two, and Stalls that their last bytes are never sent.
	Trickles, Stalls bool
}

const (
	// pieces is the number of pieces of a reply that trickles, and maxBetweenPieces the longest time between two of them.
	pieces, maxBetweenPieces = 10, 300 * time.Millisecond
)

// SetPace sets how the replica works on requests that begin from now on.
func (r *Replica) SetPace(p Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = p
}

func (r *Replica) currentPace() Pace {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace
}

// RunsOf returns the runs of the request with the given ID.
func (w *World) RunsOf(id string) []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Run
	for _, run := range w.runs[id] {
		list = append(list, *run)
	}
	return list
}

// end records the end of a run, nil if there is none.
func (w *World) end(run *Run, e Ending) {
	if run == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if run.Ended.IsZero() {
		run.Ended, run.Ending = time.Now(), e
	}
}

// acquireSlot waits for a slot and reports whether there was room to wait.
func (r *Replica) acquireSlot() bool {
	r.mu.Lock()
	if r.waiting >= maxWaiting {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.slots <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	return true
}

func (r *Replica) releaseSlot() { <-r.slots }

// work returns after the time of the work, or at the end of the connection, and reports whether the work was done.
func (r *Replica) work(c net.Conn, br *bufio.Reader, id string) bool {
	pace := r.currentPace()
	took := time.Duration(rand.Int64N(int64(maxServiceTime)))
	if r.Service == LongService {
		took = workTime(id)
	}
	if pace.Slower > 0 {
		took = time.Duration(float64(took) * pace.Slower)
	}
	var until time.Time
	if !pace.Silent {
		until = time.Now().Add(took)
	}
	// The host sends nothing before the reply, so that this ends at the deadline or with the connection. A failure to set the
	// deadline means that the connection is closed.
	if err := c.SetReadDeadline(until); err != nil {
		return false
	}
	_, err := br.Peek(1)
	if err == nil && !pace.Silent {
		// The body of a request is still unread where the reply is sent early.
		time.Sleep(time.Until(until))
		return c.SetReadDeadline(time.Time{}) == nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

// writeAtPace writes a reply, in pieces or in part if the replica trickles or stalls.
func (r *Replica) writeAtPace(c net.Conn, br *bufio.Reader, reply []byte) error {
	pace := r.currentPace()
	if pace.Stalls {
		if _, err := c.Write(reply[:len(reply)-1]); err != nil {
			return err
		}
		// The host sends nothing before the end of the reply, so that this ends with the connection.
		_, err := br.Peek(1)
		return err
	}
	size := len(reply)
	if pace.Trickles {
		size = 1 + len(reply)/pieces
	}
	for len(reply) > 0 {
		n := min(size, len(reply))
		if _, err := c.Write(reply[:n]); err != nil {
			return err
		}
		if reply = reply[n:]; len(reply) > 0 {
			time.Sleep(rand.N(maxBetweenPieces))
		}
	}
	return nil
}

// workTime returns the time of the work on a request, which depends on its ID alone.
func workTime(id string) time.Duration {
	t := float64(medianWork) * math.Exp(workSpread*randOf(id).NormFloat64())
	return min(time.Duration(t), maxWork)
}

// Body returns the body of a service's reply to the request id.
func Body(id, service string) []byte {
	part := Part(id, service)
	if service != LongService || !strings.HasPrefix(id, LargePrefix) {
		return part
	}
	n := minLarge + randOf(id).IntN(maxLarge-minLarge)
	return bytes.Repeat(part, 1+n/len(part))
}

func randOf(id string) *rand.Rand {
	h := fnv.New64a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 0))
}
