package event

import (
	"bytes"
	"io"
	"sync"
)

// maxQueuedLines and maxQueuedBytes limit the lines that wait for a slow output. A line may hold text that a peer sent.
const (
	maxQueuedLines = 2048
	maxQueuedBytes = 4 << 20
)

// Async is a writer that never blocks: it queues lines, and one goroutine writes them.
//
// If the output is a pipe that nobody reads, a blocking writer would stop a request at its next log line. Async drops
// and counts the oldest lines instead.
type Async struct {
	out   io.Writer
	ready chan struct{}
	done  chan struct{}
	quit  chan struct{}

	mu sync.Mutex
	// lines holds the queued lines, size is their length in bytes, and lost the number of lines that were dropped or not
	// written.
	lines [][]byte
	size  int
	lost  uint64
}

// NewAsync returns an asynchronous writer to out and starts its goroutine, which Close stops.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, ready: make(chan struct{}, 1), done: make(chan struct{}), quit: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of b, which must be one line.
func (a *Async) Write(b []byte) (int, error) {
	a.queue(bytes.Clone(b))
	select {
	case a.ready <- struct{}{}:
	default:
	}
	return len(b), nil
}

// queue appends a line and drops the oldest ones beyond the limits.
func (a *Async) queue(line []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lines = append(a.lines, line)
	a.size += len(line)
	for len(a.lines) > maxQueuedLines || a.size > maxQueuedBytes {
		a.removeOldest()
		a.lost++
	}
}

func (a *Async) removeOldest() []byte {
	line := a.lines[0]
	a.lines[0] = nil
	a.lines = a.lines[1:]
	a.size -= len(line)
	return line
}

// Sync does nothing, as queued lines are written continuously.
func (a *Async) Sync() error { return nil }

// Dropped returns the number of lines lost to the limits or to a failed write.
func (a *Async) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lost
}

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
		case <-a.ready:
			a.flush()
		case <-a.quit:
			a.flush()
			return
		}
	}
}

func (a *Async) flush() {
	for line, ok := a.next(); ok; line, ok = a.next() {
		// A failed write, such as to a closed output, must not end the process; the lost line is counted.
		if _, err := a.out.Write(line); err != nil {
			a.recordLost()
		}
	}
}

// next removes the oldest line and reports whether there was one.
func (a *Async) next() ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lines) == 0 {
		return nil, false
	}
	return a.removeOldest(), true
}

func (a *Async) recordLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost++
}
