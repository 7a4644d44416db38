// Package accepted keeps the accepted configuration generation of every service, which never goes back.
package accepted
