// Package directory publishes addresses of running hosts in one platform object for each zone, so that starting hosts
// can find the others.
package directory
