package startparts

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/entry/internal/allowance"
	"guavaspring.org/entry/internal/events"
)

const (
	// searchPeriod is the time after the start for which a host looks for a hint. Later it has discovered the other hosts.
	searchPeriod = 2 * time.Second
	// retryInterval is the interval between two rounds of questions, and askTimeout the timeout of each of them.
	retryInterval, askTimeout = 40 * time.Millisecond, 100 * time.Millisecond
	// readStagger is the time that each seed waits for the one before it in the settings to read the store. Usually only
	// the first one reads.
	readStagger = 200 * time.Millisecond
	// maxAsked is the number of hosts asked in one round.
	maxAsked = 3
	// hintTTL is the time after the start for which the hint counts. It is the time for which a missing host keeps its
	// share of the limits.
	hintTTL = time.Minute
)

// Options configures a Source.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Self is this host's address. Seeds returns the hosts that the settings name, Hosts other known hosts.
	Self  netip.AddrPort
	Seeds func() []netip.AddrPort
	Hosts func() []netip.AddrPort
	// Read reads the hint from the store, Ask asks another host.
	Read func(ctx context.Context) (Hint, error)
	Ask  func(ctx context.Context, addr netip.AddrPort) (Reply, error)
	// Running returns the present number of shares and the serving hosts, with zero shares on a host that has just started.
	Running func() Hint
	// Found is called with the hint, which has no parts if the store holds none. It may be nil.
	Found func(Hint)
}

// Source gets the hint at a start and passes it on to other hosts.
//
// Only hosts that the settings name as seeds read the store, one after the other until one has the hint; all others ask
// them. If each host of a large fleet that starts at once read the store, it would get more calls than it accepts.
type Source struct {
	opts    Options
	started time.Time
	begin   sync.Once
	needed  chan struct{}

	mu   sync.Mutex
	hint Hint
	// none reports that the store holds no number.
	none bool
}

// New returns a Source for a host that has just started.
func New(opts Options) *Source {
	if opts.Found == nil {
		opts.Found = func(Hint) {}
	}
	return &Source{opts: opts, started: opts.Clock.Now(), needed: make(chan struct{})}
}

// Need starts the search: the configuration names customers with limits. It may be called repeatedly.
func (s *Source) Need() { s.begin.Do(func() { close(s.needed) }) }

// Hint returns the hint, the zero value if it isn't known or no longer counts.
func (s *Source) Hint() Hint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Clock.Now().Sub(s.started) >= hintTTL {
		return Hint{}
	}
	return s.hint
}

// Run searches for the hint once it is needed, until it is found or the time for it is over, and reports whether it was
// found.
func (s *Source) Run(ctx context.Context) bool {
	select {
	case <-s.needed:
	case <-ctx.Done():
		return false
	}
	// A customer that is added later finds a host that has discovered the others.
	if s.elapsed() >= searchPeriod {
		return false
	}
	rank, read := slices.Index(s.opts.Seeds(), s.opts.Self), false
	readAt := s.opts.Clock.Now().Add(time.Duration(rank) * readStagger)
	for ctx.Err() == nil && s.elapsed() < searchPeriod && !s.isNone() {
		if s.askRound(ctx) {
			return true
		}
		if rank >= 0 && !read && !s.opts.Clock.Now().Before(readAt) {
			read = true
			if s.readStore(ctx) {
				return true
			}
		}
		clock.Sleep(ctx, s.opts.Clock, retryInterval)
	}
	events.StartPartsUnknown.Log(s.opts.Log, "none_stored", s.isNone(), "waited_ms", s.elapsed().Milliseconds())
	return false
}

func (s *Source) elapsed() time.Duration { return s.opts.Clock.Now().Sub(s.started) }

func (s *Source) isNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.none
}

func (s *Source) readStore(ctx context.Context) bool {
	h, err := s.opts.Read(ctx)
	if err != nil {
		return false
	}
	h.From = allowance.PartsFromStore
	return s.setHint(h)
}

// askRound asks a few other hosts at once and reports whether one of them had the hint.
func (s *Source) askRound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	targets := s.targets()
	replies := make(chan Reply, len(targets))
	for _, addr := range targets {
		go func() {
			rep, err := s.opts.Ask(ctx, addr)
			if err != nil {
				rep = Reply{}
			}
			replies <- rep
		}()
	}
	for range targets {
		rep := <-replies
		if rep.Parts > 0 || rep.None {
			return s.setHint(Hint{Parts: rep.Parts, Listed: rep.Listed, From: allowance.PartsFromHost})
		}
	}
	return false
}

// targets returns the hosts of one round in random order, seeds first.
func (s *Source) targets() []netip.AddrPort {
	seeds, hosts := s.opts.Seeds(), s.opts.Hosts()
	var list []netip.AddrPort
	for _, group := range [][]netip.AddrPort{seeds, hosts} {
		for _, i := range rand.Perm(len(group)) {
			if addr := group[i]; addr != s.opts.Self && !slices.Contains(list, addr) && len(list) < maxAsked {
				list = append(list, addr)
			}
		}
	}
	return list
}

// setHint stores the hint, and reports whether it holds a number. One without means that the store holds none.
func (s *Source) setHint(h Hint) bool {
	s.mu.Lock()
	s.hint, s.none = h, h.Parts == 0
	s.mu.Unlock()
	s.opts.Found(h)
	if h.Parts == 0 {
		return false
	}
	events.StartPartsKnown.Log(s.opts.Log, "parts", h.Parts, "listed", len(h.Listed), "from", h.From, "waited_ms", s.elapsed().Milliseconds())
	return true
}

// Methods serves the hint to other hosts over net/rpc.
type Methods struct{ Source *Source }

// Hint returns the present state of a host that runs, or the hint that a host has got at its own start.
func (m *Methods) Hint(_ *Args, rep *Reply) error {
	h := m.Source.opts.Running()
	if h.Parts == 0 {
		h = m.Source.Hint()
	}
	rep.Parts, rep.Listed, rep.None = h.Parts, h.Listed, m.Source.isNone()
	return nil
}
