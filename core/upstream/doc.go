// Package upstream talks to the replicas of a service over HTTP/1.1: queries, writes and health.
package upstream
