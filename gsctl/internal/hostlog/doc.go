// Package hostlog reads the logs of hosts and tells from them what became of one request.
package hostlog
