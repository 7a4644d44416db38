package memory

import "bytes"

// headerLineBytes is the memory that a parsed line of a header takes besides its text.
const headerLineBytes = 160

// HeaderBytes returns the memory that a part of an HTTP header takes once it is parsed, in bytes.
func HeaderBytes(part []byte) int64 {
	return int64(len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'}))
}
