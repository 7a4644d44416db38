package exchange

import (
	"bufio"
	"fmt"
	"io"

	"guavaspring.org/entry/internal/memory"
)

const (
	// maxHeaderBytes is the maximum size of a reply's status line and header, and of the interim replies before them.
	maxHeaderBytes = 64 << 10
	// maxBodyWireBytes is the maximum size of a reply's body on the wire, with chunk sizes, chunk extensions and trailers.
	maxBodyWireBytes = 2 * MaxReplyBytes
)

// replyReader reads from a replica and limits what each part of a reply takes.
//
// Package net/http limits neither the status line nor the header of a reply, and skips interim replies without end.
type replyReader struct {
	src io.Reader
	// part is the part of the reply that is read, limit its maximum size, and left how much of that may still be read.
	part        string
	limit, left int
	// header is the reservation of the reply while its header is read, and nil otherwise.
	header *memory.Reservation
}

// Read reads from the replica, at most what the current part may still take.
func (r *replyReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("its %s is over %d bytes", r.part, r.limit)
	}
	n, err := r.src.Read(p[:min(len(p), r.left)])
	r.left -= n
	if reserved := r.reserveHeader(p[:n]); reserved != nil {
		return 0, reserved
	}
	return n, err
}

// idle lets one buffer be read while no reply has begun.
func (r *replyReader) idle() { r.start("beginning", readBufferBytes, 0) }

// startHeader limits the header of a reply whose beginning may be in the buffer of br.
func (r *replyReader) startHeader(br *bufio.Reader, reply *memory.Reservation) error {
	buffered, err := br.Peek(br.Buffered())
	if err != nil {
		return err
	}
	r.start("header", maxHeaderBytes, len(buffered))
	r.header = reply
	return r.reserveHeader(buffered)
}

// startBody limits the body that follows a header.
func (r *replyReader) startBody() {
	r.start("body with its framing", maxBodyWireBytes, 0)
	r.header = nil
}

// discard closes the body of a reply without reading what is left of it: Close alone reads a body to its end.
func (r *replyReader) discard(body io.Closer) {
	r.start("rest", 0, 0)
	_ = body.Close()
}

func (r *replyReader) start(part string, limit, buffered int) {
	r.part, r.limit, r.left = part, limit, limit-buffered
}

// reserveHeader reserves the memory of a part of a header.
func (r *replyReader) reserveHeader(p []byte) error {
	return r.header.Grow(memory.HeaderBytes(p))
}
