// Package check holds what clients and replicas saw against what is promised.
package check
