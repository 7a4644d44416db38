// Package events holds the numbered log events of the entry program; docs/EVENTS.md is their catalogue.
package events
