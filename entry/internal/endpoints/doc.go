// Package endpoints holds the listed replicas of each service with the latency, failures and load that this host has
// measured.
package endpoints
