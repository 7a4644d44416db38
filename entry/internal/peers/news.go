package peers

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/rumor"
)

// News that must reach all hosts within seconds, such as a generation or a stopping host, is sent to all neighbours at
// once, and each receiver passes it on: with eight neighbours it takes about four hops at 5,600 hosts, whereas probes
// alone would take ten seconds. A token bucket limits it; news above the rate travels with probes and is found by the
// digests.
const (
	newsBurst     = 10.0
	newsPerSecond = 0.5
	newsQueueSize = 256
	// maxNewsItems bounds the items of one message; the rest follows in the next.
	maxNewsItems = 32
)

// tokenBucket limits messages to a burst of newsBurst and newsPerSecond after it.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = newsBurst
	} else {
		b.tokens = min(newsBurst, b.tokens+newsPerSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// newsItem holds one of a mark, a rumor and the row of a host.
type newsItem struct {
	mark  accepted.Mark
	rumor rumor.Rumor
	host  member.Host
}

// AnnounceGeneration announces to the other hosts that gen is in force here.
func (p *Peers) AnnounceGeneration(gen accepted.Generation) {
	p.newsQueue.Push(newsItem{mark: accepted.Mark{Service: gen.Service, Number: gen.Number}})
}

// Publish stores a rumor of this host and sends it to all hosts.
func (p *Peers) Publish(r rumor.Rumor) error {
	fresh, err := p.opts.Rumors.Publish(r)
	if fresh {
		p.newsQueue.Push(newsItem{rumor: r})
	}
	return err
}

// gossipNews sends the queued news to every neighbour until ctx ends.
func (p *Peers) gossipNews(ctx context.Context) {
	var b tokenBucket
	for {
		select {
		case <-p.newsQueue.Ready():
		case <-ctx.Done():
			return
		}
		for {
			news, n := p.nextNews()
			if n == 0 {
				break
			}
			if b.take(p.opts.Clock.Now()) {
				p.sendNews(ctx, news)
			}
		}
	}
}

func (p *Peers) nextNews() (*News, int) {
	news := &News{From: p.opts.List.Self().Peer}
	n := 0
	for ; n < maxNewsItems; n++ {
		it, ok := p.newsQueue.Pop()
		if !ok {
			break
		}
		switch {
		case it.mark.Service != "":
			news.Marks = append(news.Marks, it.mark)
		case it.host.ID != "":
			news.Hosts = append(news.Hosts, it.host)
		default:
			news.Rumors = append(news.Rumors, it.rumor)
		}
	}
	return news, n
}

func (p *Peers) sendNews(ctx context.Context, news *News) {
	var wg sync.WaitGroup
	for _, h := range p.opts.List.Neighbours() {
		wg.Go(func() {
			// A neighbour that misses this message receives the news from other hosts or by a repair.
			_ = p.pool.call(ctx, h.Peer, probeTimeout, "Tell", news, &struct{}{})
		})
	}
	wg.Wait()
}

// receiveNews merges marks and rumors, passes on new rumors and fetches newer documents from the sender.
func (p *Peers) receiveNews(from netip.AddrPort, marks []accepted.Mark, rumors []rumor.Rumor) {
	for _, r := range p.opts.Rumors.Merge(rumors) {
		events.RumorHeard.Log(p.opts.Log, "kind", r.Kind, "service", r.Service, "key", r.Key, "number", r.Number)
		p.newsQueue.Push(newsItem{rumor: r})
	}
	for _, m := range marks {
		if p.opts.Store.IsNewer(m) && p.beginFetch(m) {
			p.fetches.Go(func() {
				defer p.endFetch(m)
				p.fetchGeneration(from, m.Service)
			})
		}
	}
}

// receiveHosts merges the rows of hosts and passes on those that are new here; where a row calls this host suspect or
// dead, it passes on its own row, which refutes that.
func (p *Peers) receiveHosts(rows []member.Host) {
	for _, h := range p.opts.List.Merge(p.opts.Clock.Now(), rows) {
		p.newsQueue.Push(newsItem{host: h})
	}
}

// maxFetches bounds the concurrent fetches of documents, since marks come from other processes.
const maxFetches = 16

// beginFetch reports whether m should be fetched: eight neighbours send the same news, and one fetch is enough.
func (p *Peers) beginFetch(m accepted.Mark) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching[m] || len(p.fetching) >= maxFetches || p.stopped {
		return false
	}
	p.fetching[m] = true
	return true
}

func (p *Peers) endFetch(m accepted.Mark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.fetching, m)
}

func (p *Peers) fetchGeneration(from netip.AddrPort, service string) {
	var reply GenerationReply
	if err := p.pool.call(p.fetchCtx, from, callTimeout, "Generation", &GenerationArgs{Service: service}, &reply); err != nil {
		// The sums in the next probe differ as long as the document is missing, which starts a repair.
		return
	}
	gen, err := accepted.Decode(reply.Raw)
	if err != nil {
		events.ConfigUnreadable.Log(p.opts.Log, "service", service, "peer", from.String(), "reason", err.Error())
		return
	}
	p.opts.Store.Offer(gen)
}
