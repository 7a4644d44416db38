package exchange

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConn is the number of requests after which a connection is closed. It bounds the ids kept for it.
const maxRequestsPerConn = 1024

var idSeed = maphash.MakeSeed()

// sentIDs holds the hashes of the ids of all requests that were sent on one connection.
//
// A replica may send a second reply to a request where the reply to a later one is due. The two differ in nothing but
// the id, so a connection must not carry two attempts of one request.
type sentIDs []uint64

func (s sentIDs) contains(id string) bool { return slices.Contains(s, maphash.String(idSeed, id)) }

func (s *sentIDs) add(id string) { *s = append(*s, maphash.String(idSeed, id)) }

func (s sentIDs) full() bool { return len(s) >= maxRequestsPerConn }
