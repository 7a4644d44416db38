// Package ring joins two goroutines by a bounded buffer that drops the oldest entry rather than block its writer.
package ring
