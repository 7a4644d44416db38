// Package cpu reads the processor time of other processes.
package cpu
