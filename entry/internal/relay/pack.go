package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"guavaspring.org/core/feed"
)

// mostUnpacked bounds what a reply of another host may unpack to: 24,000 replicas take 4 MB.
const mostUnpacked = 64 << 20

// pack writes entries in as few bytes as the library's compression gets them into; the names and addresses of replicas
// are much alike.
func pack[T any](entries []feed.Entry[T]) ([]byte, error) {
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

// Unpack puts what the reply holds packed into Entries.
func (r *Reply[T]) Unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	src := flate.NewReader(bytes.NewReader(r.Packed))
	if err := gob.NewDecoder(io.LimitReader(src, mostUnpacked)).Decode(&r.Entries); err != nil {
		return fmt.Errorf("relay: unpack %d bytes: %w", len(r.Packed), err)
	}
	r.Packed = nil
	return nil
}
