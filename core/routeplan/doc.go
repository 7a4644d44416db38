// Package routeplan holds the messages of the net/rpc service Explain, by which an operator asks a host where it would
// send a request.
package routeplan
