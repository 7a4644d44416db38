// Package limit limits the number of concurrent tries that this host sends to one replica.
package limit
