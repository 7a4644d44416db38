package allowance

import (
	"time"

	"guavaspring.org/entry/internal/bucket"
)

// reserve is a bucket that is used at times, and gets tokens only while it is.
type reserve struct {
	bucket *bucket.Bucket
	// usedAt is when it was used last, and advancedAt when it last got tokens in advance.
	usedAt, advancedAt time.Time
}

// at brings the bucket up to date. What came while it was not used was given out by somebody else.
func (r *reserve) at(now time.Time, rate, depth, advance float64) *bucket.Bucket {
	switch {
	case r.bucket == nil:
		r.bucket = bucket.New(now, rate, depth, 0)
	case now.Sub(r.usedAt) > partFor:
		r.bucket.Resume(now)
	}
	r.bucket.Set(now, rate, depth)
	r.usedAt = now
	if advance > 0 && (r.advancedAt.IsZero() || now.Sub(r.advancedAt) > advanceAgain) {
		r.bucket.Add(advance)
		r.advancedAt = now
	}
	return r.bucket
}

// pause stops the bucket until it is used again.
func (r *reserve) pause(now time.Time) {
	if r.bucket != nil {
		r.bucket.Fill(now)
		r.usedAt = time.Time{}
	}
}
