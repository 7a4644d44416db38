// Package faults draws disturbances from a seed and carries them out.
package faults
