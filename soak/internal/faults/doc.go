// Package faults injects pseudo-random faults, repeatable by a seed.
package faults
