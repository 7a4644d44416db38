// Package operator carries out the commands of gsctl against the platform and the hosts.
package operator
