// Package feed holds what a store of objects tells of one kind: a page of all of them, and the changes since.
package feed
