// Package event writes numbered log events; docs/EVENTS.md catalogues every one of them.
package event
