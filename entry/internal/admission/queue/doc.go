// Package queue decides which requests of a service run at once, which are queued and in which order, and which are
// refused.
package queue
