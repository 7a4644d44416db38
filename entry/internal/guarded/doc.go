// Package guarded sends tries of requests unless those are known to crash replicas.
package guarded
