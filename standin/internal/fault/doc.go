// Package fault describes what a replica stand-in does wrong on command.
package fault
