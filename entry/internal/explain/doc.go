// Package explain keeps the latest decisions of this host, so that an answer can be explained.
package explain
