// Package drainer takes a host out of service without cutting off a request.
package drainer
