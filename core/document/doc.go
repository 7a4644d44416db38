// Package document reads a service's document, the one file by which its operators steer the system.
package document
