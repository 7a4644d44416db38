// Package records merges the records of the parts of an answer.
package records
