package budget

import "sync/atomic"

const (
	// unit is one token in the counter, so that a percentage of a token can be earned.
	unit = 1_000
	// burst is how many tokens are kept: enough for the shards of one query that a single fault hits, far too few to
	// double the load when every shard is late.
	burst = 10
	// percent of one token, in units.
	percentUnit = unit / 100
)

// Budget is a token bucket that first tries fill and extra tries empty.
//
// It answers a fault or an overload that makes many tries fail or be late at once. Without it each of them
// is sent again, the load on the upstream doubles at the moment it can bear least, and stays doubled after
// the cause has gone. Tokens come from first tries and not from time, so that the extra load stays the
// same share of the load whatever the load is.
type Budget struct {
	tokens atomic.Int64
}

// New returns a full budget.
func New() *Budget {
	b := &Budget{}
	b.tokens.Store(burst * unit)
	return b
}

// Earn adds what n first tries allow at the given percentage.
func (b *Budget) Earn(n int, percent float64) {
	earned := int64(float64(n) * percent * percentUnit)
	if left := b.tokens.Add(earned); left > burst*unit {
		// Two goroutines may both cut the surplus off; the loss is less than a query's earnings.
		b.tokens.CompareAndSwap(left, burst*unit)
	}
}

// Take spends one token and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens.Add(-unit) >= 0 {
		return true
	}
	b.tokens.Add(unit)
	return false
}
