// Package forward forwards clients' requests to the replicas of the matching route.
package forward
