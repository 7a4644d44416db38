// Package customers tells from the hosts' logs which customers were refused, and why.
package customers
