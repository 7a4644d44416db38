// Package source follows the objects of one kind in the platform's store.
package source
