// Package placement decides which hosts clients are sent to, and what part of the bounds that hold for all hosts each
// of them takes.
package placement
