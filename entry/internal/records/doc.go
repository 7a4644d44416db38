// Package records merges the records of the parts of a response.
package records
