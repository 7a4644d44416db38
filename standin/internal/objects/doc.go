// Package objects stands in for the platform: versioned objects, conditional updates, watches and a host list.
package objects
