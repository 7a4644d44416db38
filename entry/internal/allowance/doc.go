// Package allowance decides whether a customer's request is within the number that may run on all hosts together.
package allowance
