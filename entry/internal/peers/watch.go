package peers

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// watchInterval is the time between two probes of a watched host, watchProbeTimeout the timeout of each.
	watchInterval     = 500 * time.Millisecond
	watchProbeTimeout = 300 * time.Millisecond
	// watchIndirectTimeout is the timeout of indirect probes: that of the probe itself and 200 ms for a round trip to
	// the host that sends it.
	watchIndirectTimeout = probeTimeout + 200*time.Millisecond
)

// watchHosts probes each watched host every watchInterval until ctx ends, and announces an unreachable one to all hosts
// at once.
//
// It covers the power loss of a host or an availability zone. Clients are directed to few hosts, and each connection
// attempt to a lost one costs a client a second, which exceeds most deadlines. Probes of neighbours take turns, detect
// the loss after some seconds and spread it with later probes; until then hosts would keep directing clients to it.
func (p *Peers) watchHosts(ctx context.Context) {
	var running sync.WaitGroup
	p.every(ctx, watchInterval, func() {
		for _, target := range p.opts.Watched() {
			running.Go(func() { p.probeWatched(ctx, target) })
		}
	})
	running.Wait()
}

// probeWatched probes one watched host and announces it if it became suspect.
func (p *Peers) probeWatched(ctx context.Context, target member.Host) {
	if suspect, ok := p.detectFailure(ctx, target, watchProbeTimeout, watchIndirectTimeout); ok {
		p.newsQueue.Push(newsItem{host: suspect})
	}
}
