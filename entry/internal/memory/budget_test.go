package memory_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/memory"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

func newBudget(limit int64) *memory.Budget {
	return memory.New(memory.Options{Clock: clock.System{}, Log: logr.Discard(), Limit: limit})
}

// Guards against a sum over the limit, and against bytes that stay counted once all messages are released, in any order of
// growth, cuts, completion and release.
func TestSumStaysWithinTheLimit(t *testing.T) {
	const limit = 4 * megabyte
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := newBudget(limit)
		var open []*memory.Reservation
		for step := range 4000 {
			n := 0
			if len(open) > 0 {
				n = r.IntN(len(open))
			}
			switch op := r.IntN(10); {
			case op < 3 || len(open) == 0:
				m, err := b.Reserve(memory.Replica)
				if err != nil {
					qt.Assert(t, err, qt.ErrorIs, memory.ErrExceeded)
					break
				}
				if r.IntN(4) > 0 {
					m.OnCut(func() {})
				}
				open = append(open, m)
			case op < 7:
				_ = open[n].Grow(r.Int64N(int64(1) << r.IntN(22)))
			case op < 8:
				open[n].OnCut(nil)
			case op < 9 && len(open) > 1:
				open[n].OnCut(nil)
				open[(n+1)%len(open)].Adopt(open[n])
				open = slices.Delete(open, n, n+1)
			default:
				open[n].Release()
				open = slices.Delete(open, n, n+1)
			}
			held := b.Held()
			qt.Assert(t, held >= 0 && held <= limit, qt.IsTrue, qt.Commentf("seed %d, step %d: %d bytes are held", seed, step, held))
		}
		for _, m := range open {
			m.Release()
		}
		qt.Assert(t, b.Held(), qt.Equals, int64(0), qt.Commentf("seed %d", seed))
		// The half for large messages is free again, too.
		m, err := b.Reserve(memory.Replica)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, m.Grow(limit/2), qt.IsNil, qt.Commentf("seed %d", seed))
	}
}

// Guards against messages of usual size that are refused because peers send messages without end: the largest message has to
// make room, and messages of usual size must find half of the budget free and may displace larger ones from the rest.
func TestLargestMessageMakesRoom(t *testing.T) {
	b := newBudget(4 * megabyte)
	var cut []string
	reserve := func(name string, size int64) (*memory.Reservation, error) {
		m, err := b.Reserve(memory.Replica)
		if err != nil {
			return nil, err
		}
		m.OnCut(func() { cut = append(cut, name) })
		return m, m.Grow(size)
	}
	first, err := reserve("first", 1200*kilobyte)
	qt.Assert(t, err, qt.IsNil)
	_, err = reserve("second", 700*kilobyte)
	qt.Assert(t, err, qt.IsNil)
	_, err = reserve("third", 300*kilobyte)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cut, qt.DeepEquals, []string{"first"})
	qt.Check(t, first.Err(), qt.ErrorIs, memory.ErrExceeded)
	qt.Check(t, first.Grow(1), qt.ErrorIs, memory.ErrExceeded)

	_, err = reserve("largest", 1500*kilobyte)
	qt.Check(t, err, qt.ErrorIs, memory.ErrExceeded)
	qt.Check(t, cut, qt.DeepEquals, []string{"first"}, qt.Commentf("a larger message must not displace smaller ones"))

	small := 0
	for ; small < 10000; small++ {
		if _, err = reserve("small", 4*kilobyte); err != nil {
			break
		}
		if small < 2*megabyte/(5*kilobyte) {
			qt.Check(t, cut, qt.DeepEquals, []string{"first"}, qt.Commentf("%d small messages", small))
		}
	}
	qt.Check(t, small, qt.Equals, 4*megabyte/(5*kilobyte))
	qt.Check(t, cut, qt.DeepEquals, []string{"first", "second", "third"})
}

// Guards against a complete message that is cut off: its connection may carry another one by then.
func TestCompleteMessageIsNotCutOff(t *testing.T) {
	b := newBudget(2 * megabyte)
	m, err := b.Reserve(memory.Replica)
	qt.Assert(t, err, qt.IsNil)
	m.OnCut(func() { t.Error("a complete message was cut off") })
	qt.Assert(t, m.Grow(900*kilobyte), qt.IsNil)
	m.OnCut(nil)
	other, err := b.Reserve(memory.Replica)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, other.Grow(200*kilobyte), qt.ErrorIs, memory.ErrExceeded)
	m.Release()
	qt.Check(t, other.Grow(200*kilobyte), qt.IsNil)
}

// Guards against a connection of another host that is cut off although it holds little: a large message on it was answered.
func TestSmallMessageIsNotCutOff(t *testing.T) {
	b := newBudget(64 * kilobyte)
	m, err := b.Reserve(memory.Host)
	qt.Assert(t, err, qt.IsNil)
	m.OnCut(func() { t.Error("a small message was cut off") })
	qt.Assert(t, m.Grow(20*kilobyte), qt.IsNil)
	m.Shrink(16 * kilobyte)
	for err == nil {
		_, err = b.Reserve(memory.Host)
	}
	qt.Check(t, err, qt.ErrorIs, memory.ErrExceeded)
	qt.Check(t, m.Err(), qt.IsNil)
}

// Guards against memory that is never counted as free: a reply that comes once its request has ended has no one to release
// it.
func TestReplyAfterItsRequestIsReleased(t *testing.T) {
	b := newBudget(megabyte)
	request, err := b.Reserve(memory.Client)
	qt.Assert(t, err, qt.IsNil)
	for range 2 {
		reply, err := b.Reserve(memory.Replica)
		qt.Assert(t, err, qt.IsNil)
		request.Adopt(reply)
		request.Release()
		qt.Check(t, b.Held(), qt.Equals, int64(0))
		qt.Check(t, reply.Grow(1), qt.IsNotNil)
	}
}

// Guards against reading more than the limit, against an announced size that takes memory before the bytes arrive, and against
// a body that is taken for complete though it is not.
func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	tests := []struct {
		name        string
		src         io.Reader
		size, limit int64
		want        int
		err         error
		most        int64
	}{
		{"empty", strings.NewReader(""), 0, 100, 0, nil, 2 * kilobyte},
		{"of known size", strings.NewReader(strings.Repeat("x", 100000)), 100000, megabyte, 100000, nil, 200 * kilobyte},
		{"of unknown size", strings.NewReader(strings.Repeat("x", 100000)), -1, megabyte, 100000, nil, 200 * kilobyte},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), -1, megabyte, 9000, nil, 30 * kilobyte},
		{"at the limit", strings.NewReader(strings.Repeat("x", 100)), -1, 100, 100, nil, 2 * kilobyte},
		{"over the limit", strings.NewReader(strings.Repeat("x", 101)), -1, 100, 0, memory.ErrTooLong, 2 * kilobyte},
		{"announced over the limit", strings.NewReader("x"), 101, 100, 0, memory.ErrTooLong, 2 * kilobyte},
		{"announced and not sent", iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), 8 * megabyte, 8 * megabyte, 0, iotest.ErrTimeout, 6 * kilobyte},
		{"broken", io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(errBroken)), -1, 100, 0, errBroken, 2 * kilobyte},
		{"over the budget", strings.NewReader(strings.Repeat("x", 4*megabyte)), -1, 8 * megabyte, 0, memory.ErrExceeded, 3 * megabyte},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBudget(4 * megabyte)
			m, err := b.Reserve(memory.Replica)
			qt.Assert(t, err, qt.IsNil)
			most := int64(0)
			body, err := m.ReadAll(watched{test.src, func() { most = max(most, b.Held()) }}, test.size, test.limit)
			qt.Check(t, err, qt.ErrorIs, test.err)
			qt.Check(t, len(body), qt.Equals, test.want)
			qt.Check(t, most <= test.most, qt.IsTrue, qt.Commentf("%d bytes were reserved", most))
			m.Release()
			qt.Check(t, b.Held(), qt.Equals, int64(0))
		})
	}
}

// watched calls a function before each read.
type watched struct {
	io.Reader
	read func()
}

func (w watched) Read(p []byte) (int, error) {
	w.read()
	return w.Reader.Read(p)
}

// Guards against a log that is flooded by a peer, and against cuts that leave no trace in it.
func TestExceededIsLoggedOnceASecond(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	b := memory.New(memory.Options{Clock: clock.System{}, Log: log, Limit: 100 * kilobyte})
	m, err := b.Reserve(memory.Store)
	qt.Assert(t, err, qt.IsNil)
	for range 100 {
		qt.Assert(t, m.Grow(megabyte), qt.ErrorIs, memory.ErrExceeded)
	}
	qt.Assert(t, lines, qt.HasLen, 1)
	for _, field := range []string{`"event"=1358`, `"peer"="store"`, fmt.Sprintf(`"limit"=%d`, 100*kilobyte)} {
		qt.Check(t, lines[0], qt.Contains, field)
	}
}
