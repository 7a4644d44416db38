// Package front assembles and runs one entry host that forwards opaque requests.
package front
