package records

import (
	"bytes"
	"slices"
)

// recordSize is the length of a record in bytes; a shorter rest at the end of a part is ignored.
const recordSize = 16

// Top returns the k greatest 16-byte records of all parts, greatest first. The result for some of the parts can be
// passed to another call in place of these parts.
//
// Only the k greatest records so far are kept sorted. Of 36 parts with 62 records each, most records are smaller than
// all of these and cost one comparison; sorting all records would be most of the work of a query.
func Top(parts [][]byte, k int) []byte {
	// Other programs choose k: it may be negative, or far above the number of records.
	all := 0
	for _, part := range parts {
		all += len(part) / recordSize
	}
	k = min(max(k, 0), all)
	greatest := make([][]byte, 0, k+1)
	for _, part := range parts {
		for ; len(part) >= recordSize; part = part[recordSize:] {
			record := part[:recordSize]
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
