// Package client calls hosts as clients of the platform do, and records what came back.
package client
