package accepted

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"

	"guavaspring.org/core/document"
	"guavaspring.org/core/platform"
)

// Generation is one accepted document; Number is the platform version of its proposal.
type Generation struct {
	Service  string            `json:"service"`
	Number   int64             `json:"number"`
	Document document.Document `json:"document"`
	// Raw is the encoded object as it was stored, nil for a generation created in this process.
	//
	// Hosts forward these bytes and never a re-encoded document: a host of an older version ignores keys that it does
	// not support, and would drop them for each host that receives the generation from it.
	Raw json.RawMessage `json:"-"`
}

// Decode decodes an accepted object. Missing keys, as in an object written by an older version, get their defaults;
// limits that this version would reject stay as accepted, since an accepted generation is never reverted.
func Decode(raw []byte) (Generation, error) {
	gen := Generation{Document: document.Default()}
	if err := json.Unmarshal(raw, &gen); err != nil {
		return Generation{}, fmt.Errorf("accepted object: %w", err)
	}
	if gen.Service == "" || gen.Service != gen.Document.Service {
		return Generation{}, fmt.Errorf("accepted object: service %q holds the document of %q", gen.Service, gen.Document.Service)
	}
	if gen.Number <= 0 {
		return Generation{}, fmt.Errorf("accepted object of %s: number %d is not above 0", gen.Service, gen.Number)
	}
	if err := checkRunnable(gen.Document); err != nil {
		return Generation{}, fmt.Errorf("accepted object of %s: %w", gen.Service, err)
	}
	gen.Raw = append(json.RawMessage(nil), raw...)
	return gen, nil
}

// FromObject decodes the body of an object of the platform.
func FromObject(obj platform.Object) (Generation, error) {
	if obj.Unreadable != nil {
		return Generation{}, fmt.Errorf("accepted object: %w", obj.Unreadable)
	}
	return Decode(obj.Body)
}

// checkRunnable rejects only values with which the program can't run: zeros that it divides by or waits for.
func checkRunnable(doc document.Document) error {
	for _, f := range []struct {
		key   string
		value int64
	}{
		{"upstream.slots", int64(doc.Upstream.Slots)},
		{"upstream.connections", int64(doc.Upstream.Connections)},
		{"upstream.entry_hosts", int64(doc.Upstream.EntryHosts)},
		{"deadline.default", int64(doc.Deadline.Default)},
		{"deadline.max", int64(doc.Deadline.Max)},
		{"admission.concurrency", int64(doc.Admission.Concurrency)},
		{"addresses.count", int64(doc.Addresses.Count)},
	} {
		if f.value <= 0 {
			return &document.FieldError{Key: f.key, Value: strconv.FormatInt(f.value, 10), Reason: "nothing can run with it", Want: "above 0"}
		}
	}
	return nil
}

// Encoded returns the bytes to store or to send.
func (g Generation) Encoded() ([]byte, error) {
	if g.Raw != nil {
		return g.Raw, nil
	}
	b, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode generation %d of %s: %w", g.Number, g.Service, err)
	}
	return b, nil
}

// Mark is the number of a service's generation in force on a host, without the document.
type Mark struct {
	Service string
	Number  int64
}

// Key is the hash of the service name, the mark's key in digests.
func (m Mark) Key() uint64 {
	f := fnv.New64a()
	// A hash returns no write error.
	_, _ = f.Write([]byte(m.Service))
	return f.Sum64() * 0x9e3779b97f4a7c15
}

// Sum is the mark's checksum in digests; it depends on the number.
func (m Mark) Sum() uint64 {
	return (m.Key() ^ uint64(m.Number)*0xc4ceb9fe1a85ec53) * 0xff51afd7ed558ccd
}
