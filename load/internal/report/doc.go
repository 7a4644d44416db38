// Package report stores the results of runs as files and renders them as a table and plots.
package report
