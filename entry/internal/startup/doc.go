// Package startup holds the first requests of a host that has just started until it knows what it needs to serve them.
package startup
