// Package hosts runs real host processes and disturbs them by signals.
package hosts
