// Package patience tells clients that come for the first time from those that come back.
package patience
