// Package host joins the duties of one entry host and runs them.
package host
