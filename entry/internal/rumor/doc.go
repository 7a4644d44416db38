// Package rumor holds the small facts that one host tells all others, such as a replica that is leaving.
package rumor
