// Package retrybudget limits retries and hedges, over all hosts together, in any window of time.
package retrybudget
