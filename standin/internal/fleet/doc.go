// Package fleet runs the replicas of one service in one process and lists them on the platform stand-in.
package fleet
