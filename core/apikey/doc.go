// Package apikey holds the digests by which customers' keys are known inside the system.
package apikey
