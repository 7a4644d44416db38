// Package ring provides a bounded queue between two goroutines that drops the oldest entry instead of blocking its
// writer.
package ring
