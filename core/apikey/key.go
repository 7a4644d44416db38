package apikey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// purpose separates these digests from other digests of the same text.
const purpose = "guavaspring api key"

// shown is how many bytes of a digest are written where people read it.
const shown = 4

// Key is the digest of a customer's key; the zero value stands for no key.
//
// The key itself is read at the edge and stored nowhere: neither messages between hosts nor logs hold anything that can
// be used to make a request.
type Key [sha256.Size]byte

// Of returns the digest of a key as its customer writes it; an empty text is no key.
func Of(text string) Key {
	if text == "" {
		return Key{}
	}
	h := hmac.New(sha256.New, []byte(purpose))
	// Writing to a hash returns no error.
	_, _ = h.Write([]byte(text))
	return Key(h.Sum(nil))
}

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k == Key{} }

// String returns enough of the digest to distinguish the keys of a customer, or "none".
func (k Key) String() string {
	if k.IsZero() {
		return "none"
	}
	return hex.EncodeToString(k[:shown])
}
