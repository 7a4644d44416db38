package peers

import (
	"sync"

	"guavaspring.org/entry/internal/memory"
)

const (
	// messageBytes is the memory that a message takes besides its content, with the goroutine that handles it.
	messageBytes = 4 << 10
	// contentFactor is the memory that a byte of a message takes: the buffer and the decoded values.
	contentFactor = 4
)

// received reserves the messages that arrive on a connection, each from the announcement of its length until the next write
// after it is complete.
type received struct {
	// maxLength is the maximum length of a message. Package gob accepts 1 GB, and allocates up to 10 MB at the announcement.
	maxLength int64
	reserved  *memory.Reservation

	mu     sync.Mutex
	stream gobStream
	// current is the memory reserved for the last message, complete that for the ones before it since the last write.
	current, complete int64
}

// add reserves the messages that begin in p.
func (r *received) add(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(p) > 0 {
		n, begun, err := r.stream.advance(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if !begun {
			continue
		}
		if err := r.begin(r.stream.length); err != nil {
			return err
		}
	}
	return nil
}

func (r *received) begin(length int64) error {
	if length > r.maxLength {
		return errTooLarge
	}
	size := messageBytes + contentFactor*length
	if err := r.reserved.Grow(size); err != nil {
		return err
	}
	r.complete += r.current
	r.current = size
	return nil
}

// written releases the complete messages.
func (r *received) written() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream.betweenMessages() {
		r.complete += r.current
		r.current = 0
	}
	r.reserved.Shrink(r.complete)
	r.complete = 0
}
