// Package coldshare divides the request rate that a cold replica can take among the hosts.
package coldshare
