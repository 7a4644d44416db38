package forward

import (
	"bytes"
	"slices"
)

// recordSize is the size of one record of a part; a shorter remainder is none.
const recordSize = 16

// merge returns the k greatest records of all parts, greatest first.
func merge(parts [][]byte, k int) []byte {
	n := 0
	for _, part := range parts {
		n += len(part) / recordSize
	}
	records := make([][]byte, 0, n)
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			records = append(records, part[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(k, len(records))], nil)
}
