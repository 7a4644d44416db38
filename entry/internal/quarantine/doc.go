// Package quarantine stops requests that crash the upstreams that run them.
package quarantine
