package apikey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// purpose is the HMAC key; it separates these digests from other digests of the same text.
const purpose = "guavaspring api key"

// shownBytes is the number of bytes of a digest that String returns.
const shownBytes = 4

// Key is the digest of a customer's API key; the zero value means no key.
//
// The API key itself is read at the edge and never stored, so neither messages between hosts nor logs contain anything
// that can be used to make a request.
type Key [sha256.Size]byte

// Digest returns the digest of an API key in the form that the customer sends; an empty text is no key.
func Digest(text string) Key {
	if text == "" {
		return Key{}
	}
	h := hmac.New(sha256.New, []byte(purpose))
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(text))
	return Key(h.Sum(nil))
}

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k == Key{} }

// String returns a prefix of the digest that is long enough to distinguish the keys of a customer, or "none".
func (k Key) String() string {
	if k.IsZero() {
		return "none"
	}
	return hex.EncodeToString(k[:shownBytes])
}
