// Package callers serves the HTTP API for callers and operators.
package callers
