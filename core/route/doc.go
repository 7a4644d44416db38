// Package route holds the configuration of opaque requests: which services serve a request, and within which limits.
package route
