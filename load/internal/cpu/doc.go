// Package cpu reads the CPU time of other processes.
package cpu
