// Package events declares the numbered log events of the entry program; docs/EVENTS.md lists them.
package events
