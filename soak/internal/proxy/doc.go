// Package proxy forwards loopback connections and injects network faults into them.
package proxy
