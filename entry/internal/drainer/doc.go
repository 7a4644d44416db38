// Package drainer drains a host before it stops, so that no request is cut off.
package drainer
