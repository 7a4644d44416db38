// Package measure turns samples into the three measures.
package measure
