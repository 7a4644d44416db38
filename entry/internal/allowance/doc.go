// Package allowance enforces a customer's request rate limit across all hosts. One host, the customer's keeper, holds
// the token bucket that the others take tokens from; deputies stand in for a keeper that can't be reached.
package allowance
