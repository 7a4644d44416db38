// Package requestlog writes one line about each request, within a bound.
package requestlog
