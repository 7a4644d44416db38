// Package compare detects latency regressions of one run against several runs of an earlier version.
package compare
