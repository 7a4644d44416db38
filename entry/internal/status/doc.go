// Package status writes the status of each service to the platform.
package status
