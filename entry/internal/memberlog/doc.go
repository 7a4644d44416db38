// Package memberlog logs state changes of other hosts in the member list.
package memberlog
