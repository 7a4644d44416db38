// Package room decides how many requests a host may have at one replica.
package room
