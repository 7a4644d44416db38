// Package route describes what operators configure for opaque requests: which request goes to which services, and how
// long it may take.
package route
