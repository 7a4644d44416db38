// Package loglines extracts the JSON lines from the logs of hosts.
package loglines
