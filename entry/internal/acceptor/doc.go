// Package acceptor limits what the clients of an HTTP server may send: the number of connections, and the memory of the
// requests on all of them.
package acceptor
