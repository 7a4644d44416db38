package accepted

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"

	"guavaspring.org/core/document"
)

// Generation is one accepted document; Number is the platform version of the proposal it came from.
type Generation struct {
	Service  string            `json:"service"`
	Number   int64             `json:"number"`
	Document document.Document `json:"document"`
	// Raw is the accepted object as it was recorded, or nil for a generation made in this process.
	//
	// Hosts hand on these bytes and never what they understood of them: a host of an older version doesn't know
	// every key, and would drop the others for each host that hears from it.
	Raw json.RawMessage `json:"-"`
}

// Decode reads an accepted object. Keys that it lacks, as one written by an older version does, take their defaults;
// limits that this version would refuse stay as they were accepted, since an accepted generation never reverts.
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
	if err := usable(gen.Document); err != nil {
		return Generation{}, fmt.Errorf("accepted object of %s: %w", gen.Service, err)
	}
	gen.Raw = append(json.RawMessage(nil), raw...)
	return gen, nil
}

// usable refuses only what the program can't run with: zeros that it divides by or waits for.
func usable(doc document.Document) error {
	for _, f := range []struct {
		key string
		n   int64
	}{
		{"upstream.slots", int64(doc.Upstream.Slots)},
		{"upstream.connections", int64(doc.Upstream.Connections)},
		{"upstream.entry_hosts", int64(doc.Upstream.EntryHosts)},
		{"deadline.default", int64(doc.Deadline.Default)},
		{"deadline.max", int64(doc.Deadline.Max)},
		{"admission.concurrency", int64(doc.Admission.Concurrency)},
		{"addresses.count", int64(doc.Addresses.Count)},
	} {
		if f.n <= 0 {
			return &document.FieldError{Key: f.key, Value: strconv.FormatInt(f.n, 10), Reason: "nothing can run with it", Want: "above 0"}
		}
	}
	return nil
}

// Encoded returns the bytes to record or hand on.
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

// Mark says which generation of a service a host has in force, without the document.
type Mark struct {
	Service string
	Number  int64
}

// Key is the hash of the service, which places the mark in digests.
func (m Mark) Key() uint64 {
	f := fnv.New64a()
	// Writing to a hash returns no error.
	_, _ = f.Write([]byte(m.Service))
	return f.Sum64() * 0x9e3779b97f4a7c15
}

// Sum changes with the number.
func (m Mark) Sum() uint64 {
	return (m.Key() ^ uint64(m.Number)*0xc4ceb9fe1a85ec53) * 0xff51afd7ed558ccd
}
