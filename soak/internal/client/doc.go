// Package client sends requests to hosts as clients of the platform do, and records the responses.
package client
