// Package apikey computes the digests that represent customers' API keys inside the system.
package apikey
