// Package truth reads the stand-ins' records of the requests that they executed, and sets their faults.
package truth
