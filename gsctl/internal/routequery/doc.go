// Package routequery asks a host where it would send a request, and prints the reply.
package routequery
