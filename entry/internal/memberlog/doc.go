// Package memberlog writes what a host comes to believe of other hosts to its log.
package memberlog
