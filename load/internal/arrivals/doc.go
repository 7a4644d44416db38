// Package arrivals generates the arrival times of an open-loop load.
package arrivals
