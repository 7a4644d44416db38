// Package hedge decides when a slow try is hedged by a second one.
package hedge
