// Package event writes numbered log events; docs/EVENTS.md lists all of them.
package event
