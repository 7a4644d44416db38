// Package learned holds what a host has learned from the requests of one route.
package learned
