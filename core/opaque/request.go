package opaque

import (
	"net/http"
	"time"

	"guavaspring.org/core/apikey"
)

// Request is one attempt of a client; its method, target and body are sent unchanged to a replica.
type Request struct {
	// ID is the id that the client chose for this attempt.
	ID     string
	Method string
	// Target is the raw path and query of the request.
	Target string
	// Path is the decoded path, which selects the route.
	Path string
	Host string
	// Header holds the forwarded fields, without hop-by-hop fields and fields that each hop sets itself.
	Header http.Header
	Body   []byte
	// Key is the digest of the key that the client sent, zero if it sent none or an invalid one.
	Key apikey.Key
	// Customer is the name of the customer, as sent to replicas; empty if no key was needed.
	Customer string
	// Patience is the time that the client waits for the response, zero if it didn't specify one.
	Patience time.Duration
}

// Reply holds the metadata in the header of a replica's reply.
type Reply struct {
	// ID is the id of the answered request, empty if the replica sent none.
	ID string
	// Stamp proves that the reply is the replica's own answer to the request.
	Stamp string
	// NotRun is set if the replica did not run the request and never will.
	NotRun bool
	// Misdirected is set if the address belongs to another replica.
	Misdirected bool
	// Leaving is set if the replica closes the connection after the reply.
	Leaving bool
	// Load is the reported load of the replica, nil if it reports none.
	Load *Load
	// IdleFor is how long the replica keeps an idle connection open, zero if it didn't specify it.
	IdleFor time.Duration
}

// Load is the load of a replica at the time of its reply, including the answered request.
type Load struct {
	// Running and Waiting are the numbers of requests of all hosts at the replica. Slots is the number of requests that
	// it runs concurrently.
	Running, Waiting, Slots int
	// Pace is the current duration of a request relative to the normal one, zero if the replica doesn't report it.
	Pace float64
}

// Codec converts between the wire format and the types of this package.
type Codec struct {
	// Decode decodes a client request whose body has been read.
	Decode func(r *http.Request, body []byte) Request
	// StripKey removes the key of the client from the forwarded fields.
	StripKey func(h http.Header)
	// SetKeyChallenge sets the header field of a refusal that specifies how to send a key.
	SetKeyChallenge func(h http.Header)
	// AppendHead appends the request line and header of a request to a replica; left is the time until its deadline.
	AppendHead func(b []byte, r *Request, replica string, left time.Duration) []byte
	// Reply decodes the header of a replica's reply.
	Reply func(resp *http.Response) Reply
	// CopyHeader copies the fields of a replica's reply that are forwarded to the client.
	CopyHeader func(to, from http.Header)
	// SetParts sets the header fields with the stamps of the parts of an answer and the number of missing shards.
	SetParts func(h http.Header, stamps []string, missing int)
}
