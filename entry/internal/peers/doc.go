// Package peers exchanges probes, gossip and table repairs with the other hosts over net/rpc.
package peers
