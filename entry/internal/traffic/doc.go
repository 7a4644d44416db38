// Package traffic counts what a host sends and receives, by what it is for and by whether it leaves the host's
// availability zone.
package traffic
