// Package hedge decides when a slow attempt is hedged by a second one.
package hedge
