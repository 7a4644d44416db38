// Package service runs the queries of one service on this host: it admits each query, pins it to an index version, fans
// it out to the replicas and records an explanation.
package service
