// Package subnet reserves separate loopback addresses for each soak test on a machine.
package subnet
