// Package warmup decides when a host that has just started opens its port for callers.
package warmup
