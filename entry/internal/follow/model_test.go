package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
)

const (
	modelSeeds = 1000
	modelHosts = 4
	modelEdits = 8
	// settleTime is the time within which an edit must be in force on every host while the platform is up.
	settleTime = 4 * time.Second
)

// model is a few hosts that share a fake platform and gossip their generations in force.
type model struct {
	t        *testing.T
	p        *fake
	mu       sync.Mutex
	rnd      *rand.Rand
	bodies   map[int64]string
	nodes    []*modelNode
	firstErr error
}

type modelNode struct {
	store    *accepted.Store
	follower *Follower
	cancel   context.CancelFunc
}

// Guards against hosts that diverge when operators edit concurrently while hosts start, pause in the middle of a write,
// read lagging copies and lose replies. No generation may come into force that the platform doesn't store as accepted,
// no two hosts may run different documents under one number, no number may decrease on a host, and in the end the last
// valid edit must be in force on every host.
func TestModelGenerationsNeverGoBack(t *testing.T) {
	const workers = 4
	for w := range uint64(workers) {
		t.Run(fmt.Sprint("worker ", w), func(t *testing.T) {
			t.Parallel()
			for seed := w; seed < modelSeeds; seed += workers {
				ok := t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runEdits(t, seed) })
				})
				if !ok {
					return
				}
			}
		})
	}
}

func runEdits(t *testing.T, seed uint64) {
	m := &model{t: t, p: newFake(seed), rnd: rand.New(rand.NewPCG(seed, 4)), bodies: map[int64]string{}}
	m.p.lag, m.p.lost, m.p.slow = m.randomChance(), m.randomChance(), m.randomChance()/2
	m.mu.Lock()
	for range modelHosts {
		n := &modelNode{}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	m.mu.Unlock()
	for range modelEdits {
		m.edit(m.rnd.Float64() < 0.7)
		m.injectFault()
		time.Sleep(time.Duration(m.rnd.IntN(2000)) * time.Millisecond)
	}
	m.p.mu.Lock()
	m.p.down, m.p.lag, m.p.lost, m.p.slow = false, 0, 0, 0
	m.p.mu.Unlock()
	time.Sleep(5 * time.Second)
	// No host may have received an edit that was made while the platform was down, so the last one is made now.
	last := m.edit(true)
	time.Sleep(settleTime)
	for i, n := range m.nodes {
		if gen, _ := n.store.Get(desk); gen.Number != last {
			m.fail("host %d has %d in force at the end, want %d", i, gen.Number, last)
		}
		n.cancel()
	}
	// Every call in flight ends within this time.
	time.Sleep(10 * time.Second)
	synctest.Wait()
	if m.firstErr != nil {
		t.Fatal(m.firstErr)
	}
}

// randomChance returns a probability of up to one half.
func (m *model) randomChance() float64 { return m.rnd.Float64() / 2 }

func (m *model) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstErr == nil {
		m.firstErr = fmt.Errorf(format, args...)
	}
}

// start runs a new incarnation without any state; m.mu must be held.
func (m *model) start(n *modelNode) {
	highest := int64(0)
	n.store = accepted.New(func(gen accepted.Generation) {
		if gen.Number <= highest {
			m.fail("a host went back from %d to %d", highest, gen.Number)
		}
		highest = gen.Number
		m.inForce(gen)
	})
	n.follower = follower(m.p, n.store)
	ctx, cancel := context.WithCancel(m.t.Context())
	n.cancel = cancel
	f, store := n.follower, n.store
	go f.ProcessProposals(ctx)
	go m.read(ctx, f)
	go m.gossip(ctx, store, rand.New(rand.NewPCG(m.rnd.Uint64(), 5)))
}

func (m *model) inForce(gen accepted.Generation) {
	raw, _ := gen.Encoded()
	m.mu.Lock()
	have, known := m.bodies[gen.Number]
	m.bodies[gen.Number] = string(raw)
	m.mu.Unlock()
	if known && have != string(raw) {
		m.fail("generation %d is in force as %s and as %s", gen.Number, have, raw)
	}
	if !m.isRecorded(string(raw)) {
		m.fail("generation %d is in force and was never recorded", gen.Number)
	}
}

func (m *model) isRecorded(raw string) bool {
	m.p.mu.Lock()
	defer m.p.mu.Unlock()
	for _, obj := range m.p.puts {
		if string(obj.Body) == raw {
			return true
		}
	}
	return false
}

// read replaces the two watches by reads, which lag.
func (m *model) read(ctx context.Context, f *Follower) {
	for ctx.Err() == nil {
		if obj, err := m.p.get(ctx, platform.KindAccepted, desk); err == nil {
			f.offerAccepted([]platform.Object{obj})
		}
		if obj, err := m.p.get(ctx, platform.KindDocument, desk); err == nil {
			f.addProposals([]platform.Object{obj})
		}
		clock.Sleep(ctx, f.opts.Clock, 300*time.Millisecond)
	}
}

// gossip applies the encoded generation in force of a random host.
func (m *model) gossip(ctx context.Context, store *accepted.Store, rnd *rand.Rand) {
	for ctx.Err() == nil {
		m.mu.Lock()
		other := m.nodes[rnd.IntN(len(m.nodes))].store
		m.mu.Unlock()
		if gen, ok := other.Get(desk); ok {
			raw, _ := gen.Encoded()
			if got, err := accepted.Decode(raw); err == nil {
				store.Offer(got)
			}
		}
		time.Sleep(time.Duration(200+rnd.IntN(300)) * time.Millisecond)
	}
}

// edit updates the document as an operator does, to an invalid one unless right is set, and returns its version.
func (m *model) edit(valid bool) int64 {
	m.p.mu.Lock()
	defer m.p.mu.Unlock()
	k := key(platform.KindDocument, desk)
	version := int64(len(m.p.history[k])) + 1
	body := documentBody(-1)
	if valid {
		body = documentBody(int(version))
	}
	m.p.history[k] = append(m.p.history[k], proposalOf(version, body))
	return version
}

func (m *model) injectFault() {
	switch m.rnd.IntN(5) {
	case 0:
		m.p.mu.Lock()
		m.p.down = !m.p.down
		m.p.mu.Unlock()
	case 1, 2:
		n := m.nodes[m.rnd.IntN(len(m.nodes))]
		n.cancel()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.start(n)
	}
}
