// Package limit limits the number of concurrent attempts that this host sends to one replica.
package limit
