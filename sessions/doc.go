// Package sessions holds golden files of whole sessions: real processes, run as a user or an operator runs them.
package sessions
