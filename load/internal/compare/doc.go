// Package compare tells whether one run is slower than others of an earlier version.
package compare
