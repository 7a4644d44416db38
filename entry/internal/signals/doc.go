// Package signals receives the signals that the platform and operators send to a host.
package signals
