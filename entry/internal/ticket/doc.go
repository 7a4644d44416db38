// Package ticket issues write tickets and records their use: each allows one write to run at most once, at one
// incarnation of one host.
package ticket
