// Package front joins the duties of one host that forwards opaque requests, and runs them.
package front
