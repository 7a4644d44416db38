// Package caller is a client of the HTTP API that hosts offer to callers.
package caller
