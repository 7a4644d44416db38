// Package listing stores the platform's replica list as rows that hosts exchange, so that only a few hosts have to read
// the list from the platform.
package listing
