// Package follow keeps this host up to date with the platform: documents, accepted generations and the replica list.
package follow
