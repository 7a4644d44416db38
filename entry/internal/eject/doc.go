// Package eject decides when a replica gets no ordinary tries, and when it is tried again.
package eject
