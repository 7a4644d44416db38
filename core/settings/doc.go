// Package settings reads a program's flags and environment variables and reports the one at fault.
package settings
