// Package world plays the store and the replicas of a soak, and records what ran.
package world
