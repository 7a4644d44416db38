// Package upstream sends queries, writes and health checks to the replicas of a service over HTTP/1.1.
package upstream
