// Package docfile reads and writes files that hold a service document and the version it was taken from.
package docfile
