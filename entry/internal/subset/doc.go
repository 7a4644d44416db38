// Package subset decides which replicas of a service a host keeps to.
package subset
