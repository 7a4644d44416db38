// Package arrivals draws the times of open-loop arrivals.
package arrivals
