// Package idle closes the connections of clients that have been unused for too long.
package idle
