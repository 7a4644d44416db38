// Package world simulates the store and the replicas of a soak test and records the requests that ran.
package world
