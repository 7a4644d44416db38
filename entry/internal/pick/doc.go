// Package pick decides which replica a request is sent to.
package pick
