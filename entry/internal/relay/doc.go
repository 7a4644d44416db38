// Package relay passes what a few hosts read from the platform's store on to all others.
package relay
