package scatter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"guavaspring.org/core/opaque"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/crossing"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/subquery"
)

const (
	// subqueryLate is how much later than a try of this host's own one at another host may be before a second try is
	// sent without word of it: the way there and back, and the time of a busy host.
	subqueryLate = 15 * time.Millisecond
	// subqueryPart is the part of a route's objective that subqueryLate may be: what a second host saves in bytes, an
	// urgent route loses in time.
	subqueryPart = 0.1
	// subqueryGone is how long after it is due a reply of another host is waited for before the connection to it counts
	// as broken.
	subqueryGone = 150 * time.Millisecond
	// subqueryRest is the longest wait of one call for the parts that were pending.
	subqueryRest = 250 * time.Millisecond
)

// Subqueries is how parts of queries are asked through other hosts.
type Subqueries struct {
	// Zones returns the other availability zones in which a host takes subqueries.
	Zones func() []string
	// Peer returns a host in a zone.
	Peer func(zone string) (subquery.Peer, bool)
	// Failed is told of a host that did not answer.
	Failed func(peer subquery.Peer, err error)
}

// part is a part of the request that another host gathers.
type part struct {
	peer subquery.Peer
	// shards are the places of the part's shards in the request; open says which of them still run there.
	shards []int
	open   map[int]bool
	// since is when it was sent there.
	since time.Time
	// told says that the host has answered once.
	told bool
}

// told is a reply of the host that gathers a part.
type told struct {
	part *part
	// first says that it is the reply whose records are merged.
	first bool
	reply subquery.Reply
	err   error
}

// throughOthers asks other hosts for the shards that have no replica near.
func (p *plan) throughOthers() {
	sub := p.run.opts.Subqueries
	if sub.Zones == nil || len(p.Route.Shards) == 0 || !p.Route.Idempotent || p.Suspect || !p.bearsSubqueries() {
		return
	}
	if !homes.Allow(p.Homes, p.run.opts.Region) {
		// Only the host that the client chose may see the request outside its homes.
		return
	}
	shards := make([]crossing.Shard, len(p.Shards))
	for i, s := range p.Shards {
		shards[i].Near, shards[i].Zones = s.Zones()
	}
	for _, g := range crossing.Groups(shards, sub.Zones(), p.run.opts.Draw()) {
		if peer, ok := sub.Peer(g.Zone); ok {
			p.ask(peer, g.Shards)
		}
	}
}

// bearsSubqueries reports whether the route has the time for a second host.
func (p *plan) bearsSubqueries() bool {
	objective := p.Route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return subqueryLate <= time.Duration(subqueryPart*float64(objective))
}

// ask lets another host send the first try of some shards.
func (p *plan) ask(peer subquery.Peer, shards []int) {
	sub := &part{peer: peer, shards: shards, open: map[int]bool{}, since: p.now}
	names := make([]string, len(shards))
	for n, i := range shards {
		s := &p.shards[i]
		s.sent++
		s.running++
		s.through = sub
		sub.open[i] = true
		p.Shards[i].Begin(p.now)
		names[n] = p.Shards[i].Name
		if s.sent < p.Route.Attempts {
			s.hedgeAt = p.now.Add(p.timing.hedge + subqueryLate)
		}
	}
	p.note(Through, shards[0], endpoints.Choice{}, strconv.Itoa(len(shards))+" shards by "+peer.Name+" in "+peer.Zone)
	p.report.Through += len(shards)
	args := &subquery.Args{
		Job: rand.Uint64(), Version: p.Version, Request: *p.Request, Shards: names, Top: p.Route.TopK, Left: p.Deadline.Sub(p.now), First: p.timing.hedge,
		Within: p.cutoff().Sub(p.now), Usual: p.timing.usual, Unloaded: p.unloaded, Homes: p.Homes, Fingerprint: p.Fingerprint,
	}
	go p.follow(sub, args)
}

// errForgotten means that a host has ended a subquery whose rest it was asked for.
var errForgotten = errors.New("the other host has ended the subquery")

// errLate means that a host answered so late that second tries were sent without its word.
var errLate = errors.New("the other host answered late")

// follow passes on what the host that gathers a part tells, until it has told all or nobody waits.
func (p *plan) follow(sub *part, args *subquery.Args) {
	reply, err := p.gather(sub, args)
	for first := true; ; first = false {
		select {
		case p.told <- told{part: sub, first: first, reply: reply, err: err}:
		case <-p.ctx.Done():
			sub.peer.Drop(args.Job)
			return
		}
		if err != nil || len(reply.Pending) == 0 {
			return
		}
		reply, err = p.rest(sub, args.Job)
	}
}

// gather asks for the first reply. A host that is late with it is not asked again for a while, like one that does not
// answer: it is slow itself, since it says in time what its replicas have not answered.
func (p *plan) gather(sub *part, args *subquery.Args) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, args.First+subqueryGone)
	defer cancel()
	reply, err := sub.peer.Gather(ctx, args)
	late := p.run.opts.Clock.Now().Sub(sub.since) > args.First+subqueryLate
	switch {
	case p.ctx.Err() != nil:
		// Nobody waits any more.
	case err != nil:
		p.run.opts.Subqueries.Failed(sub.peer, err)
	case late:
		p.run.opts.Subqueries.Failed(sub.peer, errLate)
	}
	return reply, err
}

// rest asks for what was pending.
func (p *plan) rest(sub *part, job uint64) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, subqueryRest+subqueryGone)
	defer cancel()
	reply, err := sub.peer.Rest(ctx, &subquery.RestArgs{Job: job, Wait: subqueryRest})
	switch {
	case p.ctx.Err() != nil:
		// Nobody waits any more.
	case err != nil:
		p.run.opts.Subqueries.Failed(sub.peer, err)
	case reply.Forgotten:
		err = errForgotten
	}
	return reply, err
}

// forget counts the tries at other hosts as ended that nobody waits for any more.
func (p *plan) forget() {
	for i := range p.shards {
		if sub := p.shards[i].through; sub != nil && sub.open[i] {
			p.ended(sub, i)
		}
	}
}

// hear takes over what a host that gathers a part has told.
func (p *plan) hear(t told) {
	if t.err != nil || t.reply.Declined != "" {
		p.unheard(t)
		return
	}
	body := t.reply.Records
	for _, got := range t.reply.Parts {
		i, ok := p.close(t.part, got.Shard)
		if !ok {
			continue
		}
		p.Shards[i].Replied(p.now, got.Took, p.unloaded)
		if !t.first {
			body = got.Body
		}
		p.Learned.Replied(p.now, got.Took)
		res := exchange.Result{Kind: upstream.KindOK, Status: http.StatusOK, Reply: opaque.Reply{Stamp: got.Stamp}, Body: body, Took: got.Took}
		p.gathered(i, res, t.first)
		// The records of all parts of a first reply come once, with the first of them.
		body = nil
	}
	for _, f := range t.reply.Failed {
		if i, ok := p.close(t.part, f.Shard); ok {
			p.exclude(i, f.Replica)
			p.take(ended{shard: i, res: exchange.Result{Kind: f.Kind, Detail: f.Detail, Took: f.Took}})
		}
	}
	t.part.told = true
	for _, w := range t.reply.Pending {
		if w.Shard < 0 || w.Shard >= len(t.part.shards) {
			continue
		}
		i := t.part.shards[w.Shard]
		p.exclude(i, w.Replica)
		if s := &p.shards[i]; !s.hedgeAt.IsZero() {
			s.hedgeAt = p.now
		}
	}
}

// close returns the place in the request of a shard of the part that no longer runs at the other host; it reports false
// where it did not.
func (p *plan) close(sub *part, n int) (int, bool) {
	if n < 0 || n >= len(sub.shards) || !sub.open[sub.shards[n]] {
		return 0, false
	}
	i := sub.shards[n]
	p.ended(sub, i)
	return i, true
}

// ended counts the end of a shard's try at the other host.
func (p *plan) ended(sub *part, i int) {
	delete(sub.open, i)
	p.Shards[i].End(p.now, p.now.Sub(sub.since))
}

// gathered takes over a part of an answer. The records of a merged one can't be told from those of the parts beside it,
// so that it stands whatever this host has had of the shard meanwhile: a page that held both would show the shard's
// records twice.
func (p *plan) gathered(i int, res exchange.Result, merged bool) {
	s := &p.shards[i]
	if merged && s.answered {
		s.running--
		s.result = res
		return
	}
	p.take(ended{shard: i, res: res})
}

// unheard ends the tries of a host that has declined, can't be reached or does not answer. What it may have sent has
// run, for all that is known here.
func (p *plan) unheard(t told) {
	res := exchange.Result{Kind: upstream.KindNotSent, Detail: "the other host declined: " + t.reply.Declined}
	if t.err != nil {
		res.Detail = t.err.Error()
		if !errors.Is(t.err, subquery.ErrUnreached) {
			res.Kind = upstream.KindBroken
		}
	}
	for _, i := range t.part.shards {
		if !t.part.open[i] {
			continue
		}
		p.ended(t.part, i)
		if res.Kind == upstream.KindBroken {
			p.excludeZone(i, t.part.peer.Zone)
		}
		p.take(ended{shard: i, res: res})
	}
}

// exclude keeps the further tries of a shard from a replica that another host has tried.
func (p *plan) exclude(i int, id string) {
	p.excludeAll(i, func(r *endpoints.Replica) bool { return r.ID() == id })
}

// excludeZone keeps the further tries of a shard from the replicas of a zone, of which another host has tried one.
func (p *plan) excludeZone(i int, zone string) {
	p.excludeAll(i, func(r *endpoints.Replica) bool { return r.Zone() == zone })
}

// excludeAll keeps the further tries of a shard from some replicas. Each counts once: a host that tells of a pending
// try again tells of the same one.
func (p *plan) excludeAll(i int, which func(r *endpoints.Replica) bool) {
	s := &p.shards[i]
	for _, r := range p.Shards[i].Replicas() {
		if which(r) && !slices.Contains(s.tried, r) {
			s.tried = append(s.tried, r)
		}
	}
}
