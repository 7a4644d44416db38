package event

import (
	"io"
	"sync/atomic"

	"guavaspring.org/core/ring"
)

// queued is how many lines wait for a reader of the output that is slow; at a kilobyte a line they hold 2 MB at the
// most.
const queued = 2048

// Async is a writer that never blocks: lines wait in a bounded ring for one goroutine that writes them.
//
// A process whose standard output is a pipe that nobody reads would stop in the middle of a request at its next log
// line. Here the oldest lines are lost instead, and are counted.
type Async struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	lost  atomic.Uint64
	done  chan struct{}
	quit  chan struct{}
}

// NewAsync returns a writer in front of out; Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: ring.New[[]byte](queued), out: out, done: make(chan struct{}), quit: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of b, which holds one line.
func (a *Async) Write(b []byte) (int, error) {
	a.lines.Push(append([]byte(nil), b...))
	return len(b), nil
}

// Sync does nothing: lines are on their way to the output all the time.
func (a *Async) Sync() error { return nil }

// Dropped returns how many lines were lost, to a full ring or an output that failed.
func (a *Async) Dropped() uint64 { return a.lines.Dropped() + a.lost.Load() }

// Close writes what waits and ends the writer; it doesn't wait for an output that hangs longer than ready allows.
func (a *Async) Close(ready <-chan struct{}) {
	close(a.quit)
	select {
	case <-a.done:
	case <-ready:
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
		// An output that was closed must not end the process; the loss is counted.
		if _, err := a.out.Write(line); err != nil {
			a.lost.Add(1)
		}
	}
}
