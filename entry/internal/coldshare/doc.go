// Package coldshare decides how many requests a second a host may send to a replica that is cold.
package coldshare
