// Package hosts runs real host processes and sends them signals.
package hosts
