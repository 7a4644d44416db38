// Package limit decides how many tries of this host a replica may run at once.
package limit
