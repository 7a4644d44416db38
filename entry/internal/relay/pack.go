package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"guavaspring.org/core/feed"
)

// maxUnpackedBytes is the maximum unpacked size of a reply in bytes. 24,000 replicas take 4 MB.
const maxUnpackedBytes = 16 << 20

// packEntries encodes and compresses entries. The names and addresses of replicas have much in common and compress
// well.
func packEntries[T any](entries []feed.Entry[T]) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(entries); err != nil {
		return nil, fmt.Errorf("relay: pack %d objects: %w", len(entries), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: pack %d objects: %w", len(entries), err)
	}
	return b.Bytes(), nil
}

// Unpack decodes Packed into Entries.
func (r *Reply[T]) Unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	src := flate.NewReader(bytes.NewReader(r.Packed))
	if err := gob.NewDecoder(io.LimitReader(src, maxUnpackedBytes)).Decode(&r.Entries); err != nil {
		return fmt.Errorf("relay: unpack %d bytes: %w", len(r.Packed), err)
	}
	r.Packed = nil
	return nil
}
