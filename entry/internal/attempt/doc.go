// Package attempt sends request attempts through the quarantine, which blocks requests that crash replicas.
package attempt
