package ring

import "sync"

// Ring is a bounded first-in-first-out buffer; if it is full, Push drops and counts the oldest entry.
type Ring[T any] struct {
	mu      sync.Mutex
	buf     []T
	head    int
	n       int
	dropped uint64
	ready   chan struct{}
}

// New returns a ring of at most size entries; it panics unless size is positive.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("ring: size must be positive")
	}
	return &Ring[T]{buf: make([]T, size), ready: make(chan struct{}, 1)}
}

// Push appends v, drops the oldest entry if the ring is full, and wakes the reader.
func (r *Ring[T]) Push(v T) {
	r.mu.Lock()
	if r.n == len(r.buf) {
		r.head = (r.head + 1) % len(r.buf)
		r.n--
		r.dropped++
	}
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Pop removes the oldest entry and reports whether there was one.
func (r *Ring[T]) Pop() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 {
		return v, false
	}
	var zero T
	v, r.buf[r.head] = r.buf[r.head], zero
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	return v, true
}

// Ready returns a channel that receives after a Push; the reader must then call Pop until it reports false, as several
// pushes may send one value.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Dropped returns the number of entries that were dropped because the reader was too slow.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
