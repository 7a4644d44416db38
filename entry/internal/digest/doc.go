// Package digest compares tables of two hosts by checksums over key prefixes, so that equal tables cost a few bytes.
package digest
