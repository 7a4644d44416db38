// Package check compares the requests and responses of clients and replicas with the system's guarantees.
package check
