// Package latency keeps recent reply times of one route and their quantiles.
package latency
