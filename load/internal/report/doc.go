// Package report writes runs as files and reads them back as one table.
package report
