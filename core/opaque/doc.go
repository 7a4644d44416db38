// Package opaque holds requests whose content the system forwards without reading it, and what is known of the replies.
package opaque
