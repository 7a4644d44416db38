// Package explainroute serves the net/rpc service Explain, which explains to operators where a host would send a request.
package explainroute
