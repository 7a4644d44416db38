// Package fleet runs the replicas of one service in one process and registers them with the platform stand-in.
package fleet
