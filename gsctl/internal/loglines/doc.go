// Package loglines reads the lines of hosts' logs.
package loglines
