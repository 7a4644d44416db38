// Package peers speaks net/rpc with the other hosts.
package peers
