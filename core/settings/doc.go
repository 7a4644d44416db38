// Package settings parses the flags and environment variables of a program; its errors name the invalid one.
package settings
