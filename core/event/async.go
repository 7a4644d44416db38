package event

import (
	"io"
	"sync/atomic"

	"guavaspring.org/core/ring"
)

// maxQueuedLines is the maximum number of lines that wait for a slow output; at one kilobyte per line they use at most
// 2 MB.
const maxQueuedLines = 2048

// Async is a writer that never blocks: it queues lines in a ring buffer, and one goroutine writes them.
//
// If the output is a pipe that nobody reads, a blocking writer would stop a request at its next log line. Async drops
// and counts the oldest lines instead.
type Async struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	lost  atomic.Uint64
	done  chan struct{}
	quit  chan struct{}
}

// NewAsync returns an asynchronous writer to out and starts its goroutine, which Close stops.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: ring.New[[]byte](maxQueuedLines), out: out, done: make(chan struct{}), quit: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of b, which must be one line.
func (a *Async) Write(b []byte) (int, error) {
	a.lines.Push(append([]byte(nil), b...))
	return len(b), nil
}

// Sync does nothing, as queued lines are written continuously.
func (a *Async) Sync() error { return nil }

// Dropped returns the number of lines lost to a full ring buffer or to a failed write.
func (a *Async) Dropped() uint64 { return a.lines.Dropped() + a.lost.Load() }

// Close writes the queued lines and stops the writer. If the output blocks, it returns once timeout receives or is
// closed.
func (a *Async) Close(timeout <-chan struct{}) {
	close(a.quit)
	select {
	case <-a.done:
	case <-timeout:
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case <-a.lines.Ready():
			a.flush()
		case <-a.quit:
			a.flush()
			return
		}
	}
}

func (a *Async) flush() {
	for line, ok := a.lines.Pop(); ok; line, ok = a.lines.Pop() {
		// A failed write, such as to a closed output, must not end the process; the lost line is counted.
		if _, err := a.out.Write(line); err != nil {
			a.lost.Add(1)
		}
	}
}
