// Package hostcosts sums the network traffic and platform calls reported in the logs of hosts.
package hostcosts
