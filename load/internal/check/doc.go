// Package check tells whether an answer is true to its request and its snapshot.
package check
