// Package writes runs non-idempotent requests at most once and reports whether they ran, did not run or may have run.
package writes
