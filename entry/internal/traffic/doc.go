// Package traffic counts the bytes that a host sends and receives, by cause and by whether they cross the border of its
// availability zone.
package traffic
