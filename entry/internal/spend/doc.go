// Package spend bounds the tries beyond the first of each request, over all hosts together, in any window of time.
package spend
