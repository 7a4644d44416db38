// Package exchange sends opaque requests to one replica over kept connections, each request once.
package exchange
