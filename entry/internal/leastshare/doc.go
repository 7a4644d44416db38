// Package leastshare keeps the least share of the limits that a host had in the last minutes.
package leastshare
