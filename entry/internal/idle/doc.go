// Package idle closes client connections that have been idle for too long.
package idle
