package memory

import (
	"errors"
	"io"
)

// Reservation is the part of a Budget that one message takes, or a request with all messages received for it. A nil
// Reservation limits nothing.
type Reservation struct {
	budget *Budget
	peer   Peer

	// The budget's mutex guards the fields below.
	bytes            int64
	cut              func()
	cutOff, released bool
	// adopted holds complete messages that are released with this one.
	adopted []*Reservation
}

// OnCut sets the function that cuts off the message while it is received: it has to end the pending read, and must not
// block. A message without it is never cut off.
func (r *Reservation) OnCut(cut func()) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.cut = cut
	if cut != nil && r.bytes > smallBytes {
		b.receiving[r] = true
		return
	}
	delete(b.receiving, r)
}

// Grow adds n bytes, which may cut off larger messages.
func (r *Reservation) Grow(n int64) error {
	if r == nil {
		return nil
	}
	cuts, err := r.budget.grow(r, n)
	for _, cut := range cuts {
		cut()
	}
	return err
}

// Shrink subtracts n bytes.
func (r *Reservation) Shrink(n int64) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.cutOff || r.released {
		return
	}
	b.held -= n
	b.large -= largeBytes(r.bytes) - largeBytes(r.bytes-n)
	r.bytes -= n
	if r.bytes <= smallBytes {
		delete(b.receiving, r)
	}
}

// Err returns ErrExceeded if the message was cut off.
func (r *Reservation) Err() error {
	if r == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.cutOff {
		return ErrExceeded
	}
	return nil
}

// Adopt keeps a complete message until r is released. If r is nil or released, the message is released at once.
func (r *Reservation) Adopt(message *Reservation) {
	if r == nil || !r.adopt(message) {
		message.Release()
	}
}

// adopt reports false if r is released.
func (r *Reservation) adopt(message *Reservation) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.released || message == nil {
		return !r.released
	}
	r.adopted = append(r.adopted, message)
	return true
}

// Release releases the message and all that it has adopted. Later calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(r)
}

// initialBytes is the size of the first buffer of a message whose size is not known.
const initialBytes = 4 << 10

// ErrTooLong is returned by ReadAll if the source is longer than its limit.
var ErrTooLong = errors.New("the message is too long")

// ReadAll reads from src until its end, at most limit bytes. The size is that announced by the sender, negative if
// unknown; the buffer grows with what arrives, so that an announcement alone takes no memory. ReadAll reserves the buffer,
// while it grows also the previous one.
func (r *Reservation) ReadAll(src io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLong
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = r.enlarge(buf, size, limit); err != nil {
				return nil, err
			}
		}
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns a buffer of twice the capacity with the content of buf, and reserves it. One byte more than size or limit
// is enough to see the end.
func (r *Reservation) enlarge(buf []byte, size, limit int64) ([]byte, error) {
	old := int64(cap(buf))
	want := min(max(2*old, initialBytes), limit+1)
	if size >= 0 && want > size/2 && old <= size {
		want = size + 1
	}
	if err := r.Grow(want); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), want)
	copy(grown, buf)
	r.Shrink(old)
	return grown, nil
}
