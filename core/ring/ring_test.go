package ring_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"guavaspring.org/core/ring"
)

// For any sequence of pushes and pops, the ring must hold the latest entries in order and count each dropped one.
func TestRingKeepsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		r := ring.New[int](size)
		var want []int
		var dropped uint64
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				r.Push(i)
				want = append(want, i)
				if len(want) > size {
					want = want[1:]
					dropped++
				}
				continue
			}
			v, ok := r.Pop()
			if ok != (len(want) > 0) {
				t.Fatalf("Pop reported %v with %d entries", ok, len(want))
			}
			if ok && v != want[0] {
				t.Fatalf("Pop returned %d, want %d", v, want[0])
			}
			want = want[min(1, len(want)):]
		}
		if r.Dropped() != dropped {
			t.Fatalf("Dropped returned %d, want %d", r.Dropped(), dropped)
		}
	})
}

// A reader that waits on Ready while several entries are pushed is woken once and must receive all of them.
func TestReadyAfterSeveralPushes(t *testing.T) {
	c := qt.New(t)
	r := ring.New[int](8)
	for i := range 3 {
		r.Push(i)
	}
	<-r.Ready()
	for i := range 3 {
		v, ok := r.Pop()
		c.Assert(ok, qt.IsTrue)
		c.Assert(v, qt.Equals, i)
	}
	_, ok := r.Pop()
	c.Assert(ok, qt.IsFalse)
}
