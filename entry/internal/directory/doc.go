// Package directory keeps a small object for each zone on the platform, by which hosts that start find the others.
package directory
