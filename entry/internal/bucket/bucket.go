package bucket

import "time"

// longestQueue bounds how long a refused request is told to wait: who would have to wait longer is as well off with
// trying again then.
const longestQueue = 10 * time.Second

// rounding is what the sum of many parts of a token may lack of a whole one.
const rounding = 1e-6

// Bucket holds whole tokens that come back at a steady rate. The zero value is empty and gets none.
type Bucket struct {
	// rate is tokens a second, depth the most that are held.
	rate, depth float64
	tokens      float64
	// queue counts those that were refused and told to come back, less those for which a token has come since.
	queue float64
	at    time.Time
}

// New returns a bucket that holds some tokens.
func New(now time.Time, rate, depth, tokens float64) *Bucket {
	return &Bucket{rate: rate, depth: depth, tokens: min(tokens, depth), at: now}
}

// Set changes the rate, in tokens a second, and the most tokens that are held.
func (b *Bucket) Set(now time.Time, rate, depth float64) {
	b.Fill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// Resume goes on at now as if no time had passed since the bucket was last used.
func (b *Bucket) Resume(now time.Time) { b.at = now }

// Add puts tokens in, up to the depth.
func (b *Bucket) Add(tokens float64) { b.tokens = min(b.depth, b.tokens+tokens) }

// Take takes up to want tokens and returns how many it got.
func (b *Bucket) Take(now time.Time, want int) int {
	b.Fill(now)
	got := min(want, int(b.tokens+rounding))
	b.tokens -= float64(got)
	return got
}

// TakeSpare takes up to want tokens and leaves half of what the bucket can hold, and returns how many it got.
func (b *Bucket) TakeSpare(now time.Time, want int) int {
	b.Fill(now)
	got := max(0, min(want, int(b.tokens-b.depth/2+rounding)))
	b.tokens -= float64(got)
	return got
}

// Refuse notes that one more was refused and returns when there will be a token for it, if those that were refused
// before come back first.
//
// It answers a caller that sends many times its limit: told only when the next token comes, all of them come back for
// that one, and all but one are refused again.
func (b *Bucket) Refuse(now time.Time) time.Duration {
	b.Fill(now)
	if b.rate <= 0 {
		return longestQueue
	}
	b.queue++
	wait := time.Duration((b.queue - b.tokens) / b.rate * float64(time.Second))
	if wait > longestQueue {
		b.queue = b.rate * longestQueue.Seconds()
		return longestQueue
	}
	return max(wait, time.Millisecond)
}

// Fill adds the tokens that have come since the last use.
func (b *Bucket) Fill(now time.Time) {
	came := b.rate * max(0, now.Sub(b.at).Seconds())
	b.at = now
	b.tokens = min(b.depth, b.tokens+came)
	b.queue = max(0, b.queue-came)
}
