package allowance

import (
	"time"

	"guavaspring.org/entry/internal/bucket"
)

// pausableBucket is a bucket that is refilled only while it is in use.
type pausableBucket struct {
	bucket *bucket.Bucket
	// usedAt is when the bucket was last used, and advancedAt is when it last received an advance of tokens.
	usedAt, advancedAt time.Time
}

// update updates the bucket. It gets no tokens for the time out of use, as another host granted those.
func (r *pausableBucket) update(now time.Time, rate, depth, advance float64) *bucket.Bucket {
	switch {
	case r.bucket == nil:
		r.bucket = bucket.New(now, rate, depth, 0)
	case now.Sub(r.usedAt) > shareHoldTime:
		r.bucket.Resume(now)
	}
	r.bucket.Set(now, rate, depth)
	r.usedAt = now
	if advance > 0 && (r.advancedAt.IsZero() || now.Sub(r.advancedAt) > advanceInterval) {
		r.bucket.Add(advance)
		r.advancedAt = now
	}
	return r.bucket
}

// pause stops the refill until the bucket is used again.
func (r *pausableBucket) pause(now time.Time) {
	if r.bucket != nil {
		r.bucket.Fill(now)
		r.usedAt = time.Time{}
	}
}
