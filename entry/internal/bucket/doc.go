// Package bucket implements a token bucket that computes when refused requests should be retried.
package bucket
