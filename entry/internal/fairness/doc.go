// Package fairness decides which requests are refused under overload: by priority, and by fair shares among customers.
package fairness
