// Package bucket holds a token bucket that tells those it refuses when to come back.
package bucket
