package peers

// gobStream finds the messages in a stream of package gob: each begins with its length, which is one byte up to 127, or the
// negated number of the bytes that follow, most significant first.
type gobStream struct {
	// length is the length of the current message, as far as it is read, and lengthLeft the number of bytes missing of it.
	length     int64
	lengthLeft int
	// left is the number of bytes missing of the current message.
	left int64
}

// maxLengthBytes is the maximum number of bytes of a length that fits an int64.
const maxLengthBytes = 7

// advance reads p up to the end of a length or of p. It returns the number of bytes read, and whether a message begins after
// them, whose length is length then.
func (s *gobStream) advance(p []byte) (n int, begun bool, err error) {
	if s.left > 0 {
		n = int(min(s.left, int64(len(p))))
		s.left -= int64(n)
		return n, false, nil
	}
	b := p[0]
	switch {
	case s.lengthLeft > 0:
		s.length = s.length<<8 | int64(b)
		s.lengthLeft--
	case b <= 0x7f:
		s.length = int64(b)
	case -int(int8(b)) > maxLengthBytes:
		return 1, false, errTooLarge
	default:
		s.length, s.lengthLeft = 0, -int(int8(b))
	}
	if s.lengthLeft > 0 {
		return 1, false, nil
	}
	s.left = s.length
	return 1, true, nil
}

// betweenMessages reports whether no message has begun that is not complete.
func (s *gobStream) betweenMessages() bool { return s.left == 0 && s.lengthLeft == 0 }
