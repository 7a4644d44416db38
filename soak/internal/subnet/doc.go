// Package subnet gives each soak that runs on a machine loopback addresses of its own.
package subnet
