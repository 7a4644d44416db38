// Package customers counts the refused requests in the logs of hosts by customer and cause.
package customers
