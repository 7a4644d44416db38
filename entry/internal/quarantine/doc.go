// Package quarantine blocks requests that crash the upstreams that run them.
package quarantine
