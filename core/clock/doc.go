// Package clock lets time be passed in, so that decisions can be tested in virtual time.
package clock
