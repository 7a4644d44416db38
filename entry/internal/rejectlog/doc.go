// Package rejectlog logs the objects of the platform that can't be decoded, each once.
package rejectlog
