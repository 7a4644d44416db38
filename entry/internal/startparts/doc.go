// Package startparts gets the number of shares that customers' limits are divided into, and the addresses of the hosts
// that have them, for a host that starts: from the store or from another host.
package startparts
