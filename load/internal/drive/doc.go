// Package drive runs a scene against one set of hosts.
package drive
