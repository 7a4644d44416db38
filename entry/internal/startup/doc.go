// Package startup holds the first requests of a starting host until it has the data that requests need.
package startup
