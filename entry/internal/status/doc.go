// Package status writes what the system reports of each service to the platform.
package status
