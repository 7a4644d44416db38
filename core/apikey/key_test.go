package apikey_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/apikey"
)

// Guards against an API key that can be read from a log line or a message between hosts.
func TestDigestDoesNotShowTheKey(t *testing.T) {
	const text = "rvnzqjynjcfv8nmpby25"
	key := apikey.Digest(text)
	qt.Assert(t, strings.Contains(fmt.Sprintf("%s %v %x %q", key, key, key[:], key[:]), text), qt.IsFalse)
	qt.Assert(t, len(key.String()), qt.Equals, 8)
}

func TestKeysAreToldApart(t *testing.T) {
	qt.Assert(t, apikey.Digest("a"), qt.Equals, apikey.Digest("a"))
	qt.Assert(t, apikey.Digest("a"), qt.Not(qt.Equals), apikey.Digest("A"))
	qt.Assert(t, apikey.Digest("a").IsZero(), qt.IsFalse)
}

// Guards against an empty text that is accepted as a key.
func TestEmptyTextIsNoKey(t *testing.T) {
	qt.Assert(t, apikey.Digest("").IsZero(), qt.IsTrue)
	qt.Assert(t, apikey.Digest("").String(), qt.Equals, "none")
}
