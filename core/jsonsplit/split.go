package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// delimiters are the bytes that end a number or a literal.
const delimiters = " \t\r\n,:[]{}\""

var errEnd = errors.New("json: unexpected end of the text")

// Elements calls f with each element of the JSON array b, without white space around it, or with none if b is null. The
// elements are parts of b and may be malformed. It returns the first error of f, or an error if b is no array.
func Elements(b []byte, f func(value []byte) error) error {
	s := &splitter{text: b}
	if s.peek() == 'n' {
		if value, err := s.value(); err != nil || string(value) != "null" {
			return errors.New("json: the text is not an array")
		}
		return s.end()
	}
	return s.list('[', ']', func() error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return f(value)
	})
}

// Members calls f with the decoded name and the value of each member of the JSON object b, in their order. The values are
// parts of b, without white space around them, and may be malformed; a member whose name is malformed is passed over. It
// returns the first error of f, or an error if b is no object.
func Members(b []byte, f func(name string, value []byte) error) error {
	s := &splitter{text: b}
	return s.list('{', '}', func() error {
		if s.peek() != '"' {
			return s.unexpected("the name of a member")
		}
		quoted, err := s.value()
		if err != nil {
			return err
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(quoted, &name) != nil {
			return nil
		}
		return f(name, value)
	})
}

// Closed reports whether b is an object that can be split into its members.
func Closed(b []byte) bool {
	return Members(b, func(string, []byte) error { return nil }) == nil
}

// splitter reads a text from the offset pos.
type splitter struct {
	text []byte
	pos  int
}

// list reads a whole text that consists of parts between brackets, separated by commas.
func (s *splitter) list(first, last byte, part func() error) error {
	if err := s.expect(first); err != nil {
		return err
	}
	if s.peek() == last {
		s.pos++
		return s.end()
	}
	for {
		if err := part(); err != nil {
			return err
		}
		if s.peek() == last {
			s.pos++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// peek passes over white space and returns the byte after it, or zero at the end of the text.
func (s *splitter) peek() byte {
	for ; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.text[s.pos]
		}
	}
	return 0
}

// value returns the next value.
func (s *splitter) value() ([]byte, error) {
	first, start := s.peek(), s.pos
	var err error
	switch first {
	case '"':
		err = s.skipString()
	case '[', '{':
		err = s.skipNested()
	default:
		n := bytes.IndexAny(s.text[s.pos:], delimiters)
		if n < 0 {
			n = len(s.text) - s.pos
		}
		s.pos += n
		if n == 0 {
			err = s.unexpected("a value")
		}
	}
	return s.text[start:s.pos], err
}

// skipString passes over a string.
func (s *splitter) skipString() error {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return nil
		}
	}
	s.pos = len(s.text)
	return errEnd
}

// skipNested passes over an array or an object. Whether each bracket is closed by one of its kind is left to the decoder
// of the value.
func (s *splitter) skipNested() error {
	for depth := 0; s.pos < len(s.text); {
		switch s.text[s.pos] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		s.pos++
		if depth == 0 {
			return nil
		}
	}
	return errEnd
}

// expect passes over the byte c.
func (s *splitter) expect(c byte) error {
	if s.peek() != c {
		return s.unexpected(fmt.Sprintf("%q", c))
	}
	s.pos++
	return nil
}

// end checks that only white space follows.
func (s *splitter) end() error {
	if s.peek(); s.pos < len(s.text) {
		return s.unexpected("the end")
	}
	return nil
}

// unexpected returns the error that something else than what was wanted is at the current offset.
func (s *splitter) unexpected(wanted string) error {
	if s.pos >= len(s.text) {
		return errEnd
	}
	return fmt.Errorf("json: %q at offset %d in place of %s", s.text[s.pos], s.pos, wanted)
}
