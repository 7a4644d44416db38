package opaque

import (
	"net/http"
	"time"

	"guavaspring.org/core/apikey"
)

// Request is one attempt of a client, whose method, target and body reach a replica unchanged.
type Request struct {
	// ID is the client's name for this attempt.
	ID     string
	Method string
	// Target is the path and query as the client wrote them.
	Target string
	// Path is the decoded path, by which the route is found.
	Path string
	Host string
	// Header holds the fields that are forwarded: those of one connection, and those that every hop sets itself, are
	// left out.
	Header http.Header
	Body   []byte
	// Key is the digest of the key that the client sent, zero where it sent none that can be read.
	Key apikey.Key
	// Customer is whose request it is, as sent to replicas; empty where no key was needed.
	Customer string
	// Patience is how long the client will wait, zero where it didn't say.
	Patience time.Duration
}

// Reply is what the header of a replica's reply says.
type Reply struct {
	// ID is the id of the request that is answered, empty where the replica did not say.
	ID string
	// Stamp proves that the reply is a replica's own answer to the request.
	Stamp string
	// NotRun says that the replica did not run the request and never will.
	NotRun bool
	// Misdirected says that another replica has the address.
	Misdirected bool
	// Leaving says that the replica closes the connection after the reply.
	Leaving bool
	// Load is what the replica says of its load, nil where it says nothing.
	Load *Load
	// IdleFor is how long the replica keeps the connection open while it is unused, zero where it didn't say.
	IdleFor time.Duration
}

// Load is what a replica says of its load at one moment, the request that it answers included.
type Load struct {
	// Running and Waiting count the requests there, of all hosts, and Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Pace is how long work takes there now, in times of the usual; zero where the replica doesn't say.
	Pace float64
}

// Codec translates between the wire and the types of this package.
type Codec struct {
	// Decode reads a client's request whose body has been read.
	Decode func(r *http.Request, body []byte) Request
	// StripKey removes the client's key from the fields that are forwarded.
	StripKey func(h http.Header)
	// AskForKey writes into the header of a refusal how a key is sent.
	AskForKey func(h http.Header)
	// AppendHead appends the request line and header with which a request is sent to a replica that may use the time
	// left.
	AppendHead func(b []byte, r *Request, replica string, left time.Duration) []byte
	// Reply reads the header of a replica's reply.
	Reply func(resp *http.Response) Reply
	// CopyHeader copies the fields of a replica's reply that the client gets.
	CopyHeader func(to, from http.Header)
	// SetParts states which parts an answer holds and how many shards are missing.
	SetParts func(h http.Header, stamps []string, missing int)
}
