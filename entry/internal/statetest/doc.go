// Package statetest compares the internal state of values in tests, for code that must not change or share it.
package statetest
