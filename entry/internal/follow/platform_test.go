package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"guavaspring.org/core/platform"
)

// fake is a platform with configurable outages, lagging reads and replies that are lost after the write took effect.
type fake struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	history map[string][]platform.Object
	// lag is the probability that a read returns an older state, lost that a reply is lost, slow that a call takes
	// seconds.
	lag, lost, slow float64
	down            bool
	puts            []platform.Object
	reads           int
	watching        atomic.Int32
}

func newFake(seed uint64) *fake {
	return &fake{rnd: rand.New(rand.NewPCG(seed, 3)), history: map[string][]platform.Object{}}
}

func key(kind platform.Kind, name string) string { return string(kind) + "/" + name }

// wait sleeps for a random time, during which other hosts run.
func (p *fake) wait() {
	p.mu.Lock()
	d := time.Duration(p.rnd.IntN(20_000_000))
	if p.rnd.Float64() < p.slow {
		d += time.Duration(p.rnd.IntN(4_000_000_000))
	}
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *fake) get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	p.wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	all := p.history[key(kind, name)]
	n := len(all)
	if n > 0 && p.rnd.Float64() < p.lag {
		n = p.rnd.IntN(n + 1)
	}
	if n == 0 {
		return platform.Object{}, fmt.Errorf("get %s: %w", name, platform.ErrNotFound)
	}
	return all[n-1], nil
}

func (p *fake) put(_ context.Context, kind platform.Kind, name string, version int64, body []byte) (platform.Object, error) {
	p.wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.history[key(kind, name)]
	switch {
	case p.down:
		return platform.Object{}, platform.ErrUnavailable
	case int64(len(all)) != version:
		return platform.Object{}, fmt.Errorf("put %s: %w", name, platform.ErrConflict)
	}
	obj := platform.Object{Kind: kind, Name: name, Version: version + 1, Body: body}
	p.history[key(kind, name)] = append(all, obj)
	if kind == platform.KindAccepted {
		p.puts = append(p.puts, obj)
	}
	if p.rnd.Float64() < p.lost {
		return platform.Object{}, platform.ErrUnavailable
	}
	return obj, nil
}

func (p *fake) replicas(context.Context) ([]platform.Replica, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, platform.ErrUnavailable
	}
	return []platform.Replica{{ID: "r-1", Service: desk}}, nil
}

// watch blocks until ctx ends.
func (p *fake) watch(ctx context.Context, _ platform.Kind, _ int64, _ time.Duration) ([]platform.Object, int64, error) {
	p.watching.Add(1)
	defer p.watching.Add(-1)
	<-ctx.Done()
	return nil, 0, platform.ErrUnavailable
}
