// Package docfile reads and writes the file in which an operator keeps a document and the version it was taken from.
package docfile
