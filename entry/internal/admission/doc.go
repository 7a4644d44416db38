// Package admission decides which requests of a service run at once, which are queued and which are refused.
package admission
