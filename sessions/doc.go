// Package sessions runs end-to-end scripts against the built programs and compares their output with golden files.
package sessions
