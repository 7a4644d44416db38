// Package relay distributes the objects of the platform's store from the few hosts that watch it to all others.
package relay
