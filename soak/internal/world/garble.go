package world

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"guavaspring.org/platform/platformtest"
)

// Garbling is a way in which a replica sends malformed replies, or replies that are unusually large, split or early.
type Garbling string

// The ways of garbling.
const (
	// LineWithoutEnd, HeaderWithoutEnd, InterimWithoutEnd and ChunksWithoutEnd send bytes until the host closes the connection.
	LineWithoutEnd    Garbling = "line without end"
	HeaderWithoutEnd  Garbling = "header without end"
	InterimWithoutEnd Garbling = "interim replies without end"
	ChunksWithoutEnd  Garbling = "chunks without end"
	// Stalled announces a large body and sends most of it.
	Stalled Garbling = "stalled body"
	// Followed sends bytes after a complete reply.
	Followed Garbling = "bytes after the reply"
	// Split sends the reply in small pieces.
	Split Garbling = "split"
	// Early sends the reply before the body of the request is read.
	Early Garbling = "early"
)

// Garblings holds all ways of garbling.
var Garblings = [...]Garbling{LineWithoutEnd, HeaderWithoutEnd, InterimWithoutEnd, ChunksWithoutEnd, Stalled, Followed, Split, Early}

const (
	// garbledRatio is the ratio of replies that a replica garbles.
	garbledRatio = 0.3
	// maxGarbledBytes limits the bytes of one garbled reply, for hosts that don't close the connection.
	maxGarbledBytes = 512 << 20
	// announcedBytes is the announced size of a stalled body, and stalledBytes the part of it that is sent.
	announcedBytes, stalledBytes = 8_000_000, 7_500_000
	// splitBytes is the maximum size of a piece of a split reply.
	splitBytes = 8
)

// Garble makes the replica garble some of its replies for t.
func (r *Replica) Garble(how Garbling, t time.Duration) {
	r.setGarbling(how)
	time.Sleep(t)
	r.setGarbling("")
}

func (r *Replica) setGarbling(how Garbling) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.garbling = how
}

// drawGarbling returns how the next reply is garbled, empty if it is not.
func (r *Replica) drawGarbling() Garbling {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.garbling == "" || rand.Float64() >= garbledRatio {
		return ""
	}
	return r.garbling
}

// writeReply writes the reply to a request, garbled if how is not empty.
func (r *Replica) writeReply(c net.Conn, br *bufio.Reader, how Garbling, id string, reply []byte) error {
	own := platformtest.ReplyStart(id, Stamp(id, r.Service))
	block := strings.Repeat("x", 64<<10)
	switch how {
	case LineWithoutEnd:
		return writeRepeatedly(c, "", block, maxGarbledBytes)
	case HeaderWithoutEnd:
		return writeRepeatedly(c, own, strings.Repeat("X-Y: z\r\n", 1000), maxGarbledBytes)
	case InterimWithoutEnd:
		return writeRepeatedly(c, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 1000), maxGarbledBytes)
	case ChunksWithoutEnd:
		return writeRepeatedly(c, own+"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+block+"\r\n", maxGarbledBytes)
	case Stalled:
		return writeRepeatedly(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", own, announcedBytes), block, stalledBytes)
	case Followed:
		return writeRepeatedly(c, string(reply), block, maxGarbledBytes)
	case Split:
		return writeSplit(c, reply)
	}
	return r.writeAtPace(c, br, reply)
}

// writeRepeatedly writes start, and then repeated until limit bytes are written. The connection stays open after that.
func writeRepeatedly(w io.Writer, start, repeated string, limit int) error {
	_, err := io.WriteString(w, start)
	for n := 0; err == nil && n < limit; n += len(repeated) {
		_, err = io.WriteString(w, repeated)
	}
	return err
}

func writeSplit(w io.Writer, reply []byte) error {
	for len(reply) > 0 {
		n := min(len(reply), 1+rand.IntN(splitBytes))
		if _, err := w.Write(reply[:n]); err != nil {
			return err
		}
		reply = reply[n:]
	}
	return nil
}
