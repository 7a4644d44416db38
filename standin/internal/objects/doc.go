// Package objects simulates the platform: versioned objects, conditional updates, watches and a host list.
package objects
