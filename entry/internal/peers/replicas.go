package peers

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/listing"
)

// Changed rows of the replica list are told like other news, but from a ring and at a rate of their own: a deployment
// of a large service would otherwise use up the tellings that generations and stops need. At one telling in two seconds
// 16 rows a second pass; what exceeds that is found by the sums.
const (
	rowsQueue = 256
	tellRows  = 2 * time.Second
	// maxTold is the most rows in one telling, about 4 KB.
	maxTold = 32
)

// ReplicasRead tells the other hosts which rows a reading of the platform's list changed here.
func (p *Peers) ReplicasRead(rows []listing.Row) {
	for _, r := range rows[:min(len(rows), rowsQueue)] {
		p.changed.Push(r)
	}
}

// hearReplicas takes over rows of the replica list, and passes on what is news here.
func (p *Peers) hearReplicas(rows []listing.Row) {
	p.ReplicasRead(p.opts.Listing.Merge(rows))
}

// tellReplicas sends the rows in the ring to every neighbour until ctx ends, the first at once and then at its rate.
func (p *Peers) tellReplicas(ctx context.Context) {
	b := bucket{}
	for {
		select {
		case <-p.changed.Ready():
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			news := &News{From: p.opts.List.Self().Peer}
			for r, ok := p.changed.Pop(); ok; r, ok = p.changed.Pop() {
				news.Replicas = append(news.Replicas, r)
				if len(news.Replicas) == maxTold {
					break
				}
			}
			if len(news.Replicas) == 0 {
				break
			}
			if !b.take(p.opts.Clock.Now()) {
				clock.Sleep(ctx, p.opts.Clock, tellRows)
				b.take(p.opts.Clock.Now())
			}
			p.sendNews(ctx, news)
		}
	}
}
