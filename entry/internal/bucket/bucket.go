package bucket

import "time"

// maxRetryAfter is the longest wait returned for a refused request. A request that would have to wait longer can as
// well be retried then.
const maxRetryAfter = 10 * time.Second

// roundingTolerance is the largest rounding error, in tokens, when fractions of a token are added up to a whole one.
const roundingTolerance = 1e-6

// Bucket is a token bucket. Tokens are added at a steady rate and taken whole. The zero value is empty and is never
// refilled.
type Bucket struct {
	// rate is in tokens per second, depth is the largest number of tokens held.
	rate, depth float64
	tokens      float64
	// waiting is the number of refused requests that are to be retried, less the tokens that have been added since.
	waiting float64
	updated time.Time
}

// New returns a bucket that holds tokens, up to depth.
func New(now time.Time, rate, depth, tokens float64) *Bucket {
	return &Bucket{rate: rate, depth: depth, tokens: min(tokens, depth), updated: now}
}

// Set changes the rate, in tokens per second, and the depth. Tokens beyond the new depth are dropped.
func (b *Bucket) Set(now time.Time, rate, depth float64) {
	b.Fill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// Resume continues at now without adding tokens for the time since the last use.
func (b *Bucket) Resume(now time.Time) { b.updated = now }

// Add adds tokens, up to the depth.
func (b *Bucket) Add(tokens float64) { b.tokens = min(b.depth, b.tokens+tokens) }

// Take takes up to want tokens and returns the number taken.
func (b *Bucket) Take(now time.Time, want int) int {
	b.Fill(now)
	taken := min(want, int(b.tokens+roundingTolerance))
	b.tokens -= float64(taken)
	return taken
}

// TakeSpare takes up to want tokens, but leaves half of the depth, and returns the number taken.
func (b *Bucket) TakeSpare(now time.Time, want int) int {
	b.Fill(now)
	taken := max(0, min(want, int(b.tokens-b.depth/2+roundingTolerance)))
	b.tokens -= float64(taken)
	return taken
}

// Refuse counts a refused request and returns the time until a token is available for it, assuming that requests
// refused earlier are retried first.
//
// A caller may exceed its limit many times over. If each refused request got the time until the next token, all would
// be retried for that token, and all but one would be refused again.
func (b *Bucket) Refuse(now time.Time) time.Duration {
	b.Fill(now)
	if b.rate <= 0 {
		return maxRetryAfter
	}
	b.waiting++
	wait := time.Duration((b.waiting - b.tokens) / b.rate * float64(time.Second))
	if wait > maxRetryAfter {
		b.waiting = b.rate * maxRetryAfter.Seconds()
		return maxRetryAfter
	}
	return max(wait, time.Millisecond)
}

// Fill adds the tokens for the time since the last use.
func (b *Bucket) Fill(now time.Time) {
	added := b.rate * max(0, now.Sub(b.updated).Seconds())
	b.updated = now
	b.tokens = min(b.depth, b.tokens+added)
	b.waiting = max(0, b.waiting-added)
}
