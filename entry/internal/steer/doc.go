// Package steer selects the hosts that a caller is directed to for a service.
package steer
