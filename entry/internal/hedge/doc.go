// Package hedge decides when a try that still runs gets a second one beside it.
package hedge
