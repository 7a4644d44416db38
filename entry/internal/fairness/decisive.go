package fairness

import (
	"math"
	"time"
)

const (
	// decisiveStart and decisiveFull bound the ratio of the expected wait for the decisive shard to the time for which the
	// request can wait: up to decisiveStart no request is refused for it, from decisiveFull on nearly all are. The expected
	// wait is a mean, and urgent requests that come later go first, so that many requests wait for twice as long.
	decisiveStart, decisiveFull = 0.3, 0.8
	// decisiveSmoothing is the time constant of the chance, and decisiveTTL the one with which it falls while no patient
	// request comes.
	decisiveSmoothing = 100 * time.Millisecond
	decisiveTTL       = 500 * time.Millisecond
)

// decisive is the chance of a refusal by the shards that are short.
//
// The level holds the wait of most shards. Replicas differ in speed, and a few shards can do less than the others: patient
// requests, which urgent ones pass in the queue of a host, wait there past their objective, and the work of all other
// shards for them is lost.
type decisive struct {
	// newest is the chance of the newest patient request, and mean that of recent ones, by which the routes that pass them
	// are refused as well.
	newest, mean float64
	at           time.Time
}

// record records the ratio of the wait for the decisive shard of a request to the time for which the request can wait.
func (d *decisive) record(now time.Time, ratio float64) {
	d.newest = min(maxChance, max(0, (ratio-decisiveStart)/(decisiveFull-decisiveStart)))
	weight := 1 - math.Exp(-now.Sub(d.at).Seconds()/decisiveSmoothing.Seconds())
	d.mean += weight * (d.newest - d.mean)
	d.at = now
}

// now returns the chance at a time.
func (d *decisive) now(now time.Time) float64 {
	return max(d.newest, d.mean) * math.Exp(-now.Sub(d.at).Seconds()/decisiveTTL.Seconds())
}
