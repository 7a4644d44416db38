// Package placement chooses the hosts that clients are directed to, and each host's share of the limits that apply to
// all hosts together.
package placement
