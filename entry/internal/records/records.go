package records

import (
	"bytes"
	"slices"
)

// size is the size of one record of a part; a shorter remainder is none.
const size = 16

// Top returns the k greatest records of 16 bytes of all parts, greatest first. The greatest of some parts stand for
// those parts in a further call.
//
// Only the k greatest so far are kept in order: of 36 parts with 62 records each most are smaller than all of those,
// and cost one comparison, where sorting all of them would be most of the work of a query.
func Top(parts [][]byte, k int) []byte {
	greatest := make([][]byte, 0, k+1)
	for _, part := range parts {
		for ; len(part) >= size; part = part[size:] {
			record := part[:size]
			if len(greatest) == k && (k == 0 || bytes.Compare(record, greatest[k-1]) <= 0) {
				continue
			}
			at, _ := slices.BinarySearchFunc(greatest, record, func(a, b []byte) int { return bytes.Compare(b, a) })
			greatest = slices.Insert(greatest, at, record)
			greatest = greatest[:min(k, len(greatest))]
		}
	}
	return bytes.Join(greatest, nil)
}
