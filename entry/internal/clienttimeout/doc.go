// Package clienttimeout distinguishes clients that retry a refused request from those that send it first.
package clienttimeout
