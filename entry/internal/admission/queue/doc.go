// Package queue decides which requests of one service run now, which wait and in which order, and which are refused.
package queue
