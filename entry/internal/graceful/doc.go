// Package graceful stops an HTTP server without leaving a request that was read without an answer.
package graceful
