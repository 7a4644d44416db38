// Package operator implements the commands of gsctl that read and write the platform and query hosts.
package operator
