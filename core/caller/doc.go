// Package caller speaks the caller's side of a host's HTTP API, for the programs that act as callers.
package caller
