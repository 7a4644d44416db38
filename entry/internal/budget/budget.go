package budget

import "sync/atomic"

const (
	// unitsPerToken is the fixed-point value of one token, so that fractions of a token can be added.
	unitsPerToken = 1_000
	// burstTokens is the capacity of the bucket in tokens: enough for the shards of one query that a single fault
	// affects, far too few to double the load when every shard is late.
	burstTokens = 10
	// unitsPerPercent is one percent of a token, in units.
	unitsPerPercent = unitsPerToken / 100
)

// Budget is a token bucket to which first attempts add tokens and from which each retry or hedge takes one.
//
// It handles a fault or an overload that makes many attempts fail or be late at once. Without it each of them is sent
// again, which doubles the load on the upstream when it has the least capacity, and the load stays doubled after the
// cause has gone. Tokens are added per first attempt rather than per unit of time, so that the extra load stays a
// constant share of the load.
type Budget struct {
	tokens atomic.Int64
}

// New returns a full budget.
func New() *Budget {
	b := &Budget{}
	b.tokens.Store(burstTokens * unitsPerToken)
	return b
}

// Credit adds the tokens for n first attempts, each percent hundredths of a token.
func (b *Budget) Credit(n int, percent float64) {
	earned := int64(float64(n) * percent * unitsPerPercent)
	if balance := b.tokens.Add(earned); balance > burstTokens*unitsPerToken {
		// Concurrent calls may remove the surplus twice; the loss is less than the tokens of one query.
		b.tokens.CompareAndSwap(balance, burstTokens*unitsPerToken)
	}
}

// Take takes one token and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens.Add(-unitsPerToken) >= 0 {
		return true
	}
	b.tokens.Add(unitsPerToken)
	return false
}
