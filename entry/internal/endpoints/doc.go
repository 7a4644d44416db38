// Package endpoints holds the replicas of each service as the platform lists them, with what this host has seen of
// them.
package endpoints
