// Package member tracks which hosts are alive, from this host's probes and from gossip.
package member
