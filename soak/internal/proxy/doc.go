// Package proxy forwards loopback connections and disturbs them on command.
package proxy
