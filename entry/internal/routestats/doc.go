// Package routestats holds the time statistics that a host collects per route.
package routestats
