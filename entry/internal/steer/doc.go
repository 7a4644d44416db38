// Package steer decides which hosts a caller is told to use for a service.
package steer
