// Package follow keeps this host in step with the platform: documents, acceptances and the replica list.
package follow
