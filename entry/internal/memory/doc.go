// Package memory limits the memory that messages from peers take in sum, whatever the peers send.
package memory
