package peers

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/listing"
)

// Changed rows of the replica list are sent as news, but from a separate queue with its own rate limit: a deployment of
// a large service would otherwise exhaust the rate that generations and stopping hosts need. One message in two seconds
// carries 16 rows a second; rows above that are found by the sums.
const (
	replicaQueueSize    = 256
	replicaNewsInterval = 2 * time.Second
	// maxNewsRows bounds the rows of one message, about 4 KB.
	maxNewsRows = 32
)

// AnnounceReplicas announces to the other hosts the rows that a read of the platform's replica list changed here.
func (p *Peers) AnnounceReplicas(rows []listing.Row) {
	for _, r := range rows[:min(len(rows), replicaQueueSize)] {
		p.replicaQueue.Push(r)
	}
}

// receiveReplicas merges rows of the replica list and passes on those that are new here.
func (p *Peers) receiveReplicas(rows []listing.Row) {
	p.AnnounceReplicas(p.opts.Listing.Merge(rows))
}

// gossipReplicas sends the queued rows to every neighbour until ctx ends, a burst at once and then one message each
// replicaNewsInterval.
func (p *Peers) gossipReplicas(ctx context.Context) {
	b := tokenBucket{}
	for {
		select {
		case <-p.replicaQueue.Ready():
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			news := &News{From: p.opts.List.Self().Peer}
			for r, ok := p.replicaQueue.Pop(); ok; r, ok = p.replicaQueue.Pop() {
				news.Replicas = append(news.Replicas, r)
				if len(news.Replicas) == maxNewsRows {
					break
				}
			}
			if len(news.Replicas) == 0 {
				break
			}
			if !b.take(p.opts.Clock.Now()) {
				clock.Sleep(ctx, p.opts.Clock, replicaNewsInterval)
				b.take(p.opts.Clock.Now())
			}
			p.sendNews(ctx, news)
		}
	}
}
