// Package exchange sends requests to one replica over pooled connections, without retries.
package exchange
