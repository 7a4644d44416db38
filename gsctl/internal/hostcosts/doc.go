// Package hostcosts adds up what the hosts' logs say they cost.
package hostcosts
