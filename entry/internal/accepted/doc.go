// Package accepted stores the accepted configuration generation of every service, which never goes back.
package accepted
