package event_test

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/event"
)

type blockedWriter struct{ never chan struct{} }

func (h blockedWriter) Write([]byte) (int, error) { <-h.never; return 0, errors.New("closed") }

// The output is a full pipe that nobody reads. Writes must not block, and lost lines must be counted.
func TestHungOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{never: make(chan struct{})}
		a := event.NewAsync(out)
		began := time.Now()
		for range 5000 {
			_, err := a.Write([]byte("line\n"))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		qt.Assert(t, a.Dropped() >= 5000-2048-1, qt.IsTrue)
		ready := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(ready) })
		a.Close(ready)
		close(out.never)
	})
}

// Guards against a log that takes a host over its memory: lines hold paths and ids of up to the size of a header, and the
// output is a pipe that nobody reads.
func TestLongLinesStayWithinTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{never: make(chan struct{})}
		a := event.NewAsync(out)
		const line, lines = 64 << 10, 1000
		for range lines {
			_, err := a.Write(make([]byte, line))
			qt.Assert(t, err, qt.IsNil)
		}
		kept := lines - int(a.Dropped())
		qt.Check(t, kept > 0 && kept*line <= 5<<20, qt.IsTrue, qt.Commentf("%d lines are kept", kept))
		close(out.never)
		a.Close(nil)
	})
}

// Writes to a closed output must not fail, and lost lines must be counted.
func TestClosedOutputIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{never: make(chan struct{})}
		close(out.never)
		a := event.NewAsync(out)
		for range 3 {
			_, err := a.Write([]byte("line\n"))
			qt.Assert(t, err, qt.IsNil)
		}
		a.Close(nil)
		qt.Assert(t, a.Dropped(), qt.Equals, uint64(3))
	})
}

// Close must write the lines that are still queued.
func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	a := event.NewAsync(&out)
	_, err := a.Write([]byte("stopped\n"))
	qt.Assert(t, err, qt.IsNil)
	a.Close(nil)
	qt.Assert(t, out.String(), qt.Equals, "stopped\n")
}

// A thousand lines within a second must stay within the limit, and the skipped ones must be counted.
func TestLimit(t *testing.T) {
	l := event.NewLimit(50)
	now := time.Unix(0, 0)
	written := 0
	for i := range 1000 {
		if l.Allow(now.Add(time.Duration(i) * time.Millisecond)) {
			written++
		}
	}
	qt.Assert(t, written >= 98 && written <= 100, qt.IsTrue, qt.Commentf("%d", written))
	qt.Assert(t, l.Skipped(), qt.Equals, uint64(1000-written))
}
