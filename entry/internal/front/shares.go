package front

import (
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/fairness"
)

// newShares returns the shares of this host, which log when they begin and end to refuse requests.
func (f *Front) newShares() *fairness.Shares {
	return &fairness.Shares{Changed: func(pool string, refusing bool, chance float64) {
		if !refusing {
			events.SharesEnded.Log(f.opts.Log, "pool", pool)
			return
		}
		events.SharesBegan.Log(f.opts.Log, "pool", pool, "chance", chance)
	}}
}
