// Package latency keeps what is known of how long the replies of one route take.
package latency
