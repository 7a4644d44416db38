// Package service serves the queries of one service on this host: it admits, pins, fans out and explains.
package service
