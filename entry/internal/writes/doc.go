// Package writes runs non-idempotent requests at most once and says truly what became of them.
package writes
