// Package rollout moves the replicas of a service to a new index version, one at a time.
package rollout
