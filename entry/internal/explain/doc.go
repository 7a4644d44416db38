// Package explain keeps the decisions of this host for its latest responses, so that a response can be explained.
package explain
