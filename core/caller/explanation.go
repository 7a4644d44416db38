package caller

import (
	"encoding/base32"
	"fmt"
	"net/netip"
	"strings"
)

var idEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// NewExplanationID returns an id that contains the address of the host; only that host stores the explanation.
func NewExplanationID(host netip.AddrPort, random string) string {
	b, err := host.MarshalBinary()
	if err != nil {
		panic(fmt.Sprintf("caller: an address can't be encoded: %v", err))
	}
	return idEncoding.EncodeToString(b) + "-" + random
}

// ExplanationHost returns the address of the host that stores the explanation with the id.
func ExplanationHost(id string) (netip.AddrPort, error) {
	head, _, ok := strings.Cut(id, "-")
	var host netip.AddrPort
	b, err := idEncoding.DecodeString(head)
	if ok && err == nil {
		err = host.UnmarshalBinary(b)
	}
	if !ok || err != nil || !host.IsValid() {
		return netip.AddrPort{}, fmt.Errorf("%q is not an explanation id, which names its host before the hyphen", id)
	}
	return host, nil
}
