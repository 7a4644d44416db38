package peers

import (
	"context"
	"sync"
	"time"

	"guavaspring.org/entry/internal/member"
)

const (
	// watchEvery is the time between two probes of a watched host, watchTimeout how long it has to answer.
	watchEvery   = 500 * time.Millisecond
	watchTimeout = 300 * time.Millisecond
	// watchAsk is how long others that are asked to probe it have: a round trip more than their own probe may take.
	watchAsk = probeTimeout + 200*time.Millisecond
)

// watchAll probes each watched host every watchEvery until ctx ends, and tells all hosts at once of one that is out of
// reach.
//
// It answers a host or a zone that loses power. Callers are sent to few hosts, and each connection to one that is gone
// costs its caller a second, which is more than most have. The probes of neighbours find it after some seconds, as
// each takes its turn, and tell it with probes, so that hosts go on naming it to callers for longer than these have.
func (p *Peers) watchAll(ctx context.Context) {
	var running sync.WaitGroup
	p.every(ctx, watchEvery, func() {
		for _, target := range p.opts.Watched() {
			running.Go(func() { p.watch(ctx, target) })
		}
	})
	running.Wait()
}

// watch probes one watched host.
func (p *Peers) watch(ctx context.Context, target member.Host) {
	if lost, ok := p.check(ctx, target, watchTimeout, watchAsk); ok {
		p.news.Push(item{host: lost})
	}
}
