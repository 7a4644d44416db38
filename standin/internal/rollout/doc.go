// Package rollout moves the replicas of a service to a new index version, one after another.
package rollout
