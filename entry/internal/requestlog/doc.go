// Package requestlog writes rate-limited log lines about requests.
package requestlog
