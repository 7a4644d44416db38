// Package member decides which hosts are alive, from probes and from what other hosts say.
package member
