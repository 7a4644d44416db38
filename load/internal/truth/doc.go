// Package truth reads from the stand-ins what really happened.
package truth
