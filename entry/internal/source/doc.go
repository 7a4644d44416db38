// Package source follows the objects of one kind in the platform's store, directly or through other hosts.
package source
