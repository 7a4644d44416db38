// Package digest compares two tables over the wire by sums of hashed prefixes, so that equal tables cost a few bytes.
package digest
