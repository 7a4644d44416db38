// Package rumor stores the small facts that hosts spread by gossip, such as a replica that is draining.
package rumor
