// Package feed defines the types that a store returns for objects of one kind: lists of all objects, and later changes.
package feed
