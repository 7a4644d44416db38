// Package ticket keeps the rights to run a write once, at one incarnation of one host.
package ticket
