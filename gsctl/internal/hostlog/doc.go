// Package hostlog traces one request through the logs of hosts.
package hostlog
