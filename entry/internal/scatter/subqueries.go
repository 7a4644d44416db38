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
	// subqueryLate is how much later than a direct attempt an attempt through another host may finish before it is
	// hedged without a reply from that host. It covers the round trip and the processing time of a busy host.
	subqueryLate = 15 * time.Millisecond
	// subqueryPart bounds subqueryLate as a share of the route's objective: on urgent routes the added latency
	// outweighs the bytes saved.
	subqueryPart = 0.1
	// subqueryGone is how long past its due time a reply of another host may be before the connection counts as broken.
	subqueryGone = 150 * time.Millisecond
	// subqueryRest is the longest wait of one call for pending parts.
	subqueryRest = 250 * time.Millisecond
)

// Subqueries configures how parts of queries are gathered by other hosts.
type Subqueries struct {
	// Zones returns the other availability zones that have a host which accepts subqueries.
	Zones func() []string
	// Peer returns a host in a zone.
	Peer func(zone string) (subquery.Peer, bool)
	// Failed is called with each host that failed to answer, or answered late.
	Failed func(peer subquery.Peer, err error)
}

// part is the part of a request that another host gathers.
type part struct {
	peer subquery.Peer
	// shards are the indexes of the part's shards in the request; open holds those whose attempts at the other host
	// have not ended.
	shards []int
	open   map[int]bool
	// since is when the subquery was sent.
	since time.Time
	// told means that the host has replied at least once.
	told bool
}

// told is a reply from the host that gathers a part.
type told struct {
	part *part
	// first marks the reply that carries the merged records.
	first bool
	reply subquery.Reply
	err   error
}

// throughOthers asks hosts in other zones for the shards without a replica in this host's zone.
func (p *plan) throughOthers() {
	sub := p.run.opts.Subqueries
	if sub.Zones == nil || len(p.Route.Shards) == 0 || !p.Route.Idempotent || p.Suspect || !p.bearsSubqueries() {
		return
	}
	if !homes.Allow(p.Homes, p.run.opts.Region) {
		// Outside the request's home regions, only the host chosen by the client may receive it.
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

// bearsSubqueries reports whether the route's objective leaves time for the extra hop.
func (p *plan) bearsSubqueries() bool {
	objective := p.Route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return subqueryLate <= time.Duration(subqueryPart*float64(objective))
}

// ask asks another host to send the first attempts of some shards.
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
	p.note(Through, shards[0], endpoints.Choice{}, strconv.Itoa(len(shards))+" shards by "+peer.Name+" in zone "+peer.Zone)
	p.report.Through += len(shards)
	args := &subquery.Args{
		Job: rand.Uint64(), Version: p.Version, Request: *p.Request, Shards: names, Top: p.Route.TopK, Left: p.Deadline.Sub(p.now), First: p.timing.hedge,
		Within: p.cutoff().Sub(p.now), Usual: p.timing.usual, Unloaded: p.unloaded, Homes: p.Homes, Fingerprint: p.Fingerprint,
	}
	go p.follow(sub, args)
}

// errForgotten means that the other host has ended the subquery whose pending parts were requested.
var errForgotten = errors.New("the other host has ended the subquery")

// errLate means that hedges were sent before the other host's first reply arrived.
var errLate = errors.New("the other host answered late")

// follow passes on the replies of the host that gathers a part, until nothing is pending or the request has ended.
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

// gather requests the first reply. A host that sends it late gets no subqueries for a while, like one that fails to
// answer: the delay is its own, because it lists unfinished replicas as pending in time.
func (p *plan) gather(sub *part, args *subquery.Args) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, args.First+subqueryGone)
	defer cancel()
	reply, err := sub.peer.Gather(ctx, args)
	late := p.run.opts.Clock.Now().Sub(sub.since) > args.First+subqueryLate
	switch {
	case p.ctx.Err() != nil:
		// The request has ended.
	case err != nil:
		p.run.opts.Subqueries.Failed(sub.peer, err)
	case late:
		p.run.opts.Subqueries.Failed(sub.peer, errLate)
	}
	return reply, err
}

// rest requests the pending parts.
func (p *plan) rest(sub *part, job uint64) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, subqueryRest+subqueryGone)
	defer cancel()
	reply, err := sub.peer.Rest(ctx, &subquery.RestArgs{Job: job, Wait: subqueryRest})
	switch {
	case p.ctx.Err() != nil:
		// The request has ended.
	case err != nil:
		p.run.opts.Subqueries.Failed(sub.peer, err)
	case reply.Forgotten:
		err = errForgotten
	}
	return reply, err
}

// forget counts the remaining attempts at other hosts as ended when the request ends.
func (p *plan) forget() {
	for i := range p.shards {
		if sub := p.shards[i].through; sub != nil && sub.open[i] {
			p.ended(sub, i)
		}
	}
}

// hear processes a reply of the host that gathers a part.
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
		// The first reply holds the records of all its parts once; they are attached to the first part.
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

// close ends the attempt of the part's nth shard at the other host and returns the shard's index in the request. It
// reports false if no such attempt is pending.
func (p *plan) close(sub *part, n int) (int, bool) {
	if n < 0 || n >= len(sub.shards) || !sub.open[sub.shards[n]] {
		return 0, false
	}
	i := sub.shards[n]
	p.ended(sub, i)
	return i, true
}

// ended counts the shard's attempt at the other host as ended.
func (p *plan) ended(sub *part, i int) {
	delete(sub.open, i)
	p.Shards[i].End(p.now, p.now.Sub(sub.since))
}

// gathered processes one part of a reply. The records of a merged part are inseparable from those of the other parts in
// the reply, so it replaces any result that this host already has for the shard: with both, the answer would hold the
// shard's records twice.
func (p *plan) gathered(i int, res exchange.Result, merged bool) {
	s := &p.shards[i]
	if merged && s.answered {
		s.running--
		s.result = res
		return
	}
	p.take(ended{shard: i, res: res})
}

// unheard ends the attempts at a host that declined, was unreachable or did not answer. Unless the host declined or was
// unreachable, the attempts count as having run, since it may have sent them.
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

// exclude excludes a replica that another host has tried from the further attempts of a shard.
func (p *plan) exclude(i int, id string) {
	p.excludeAll(i, func(r *endpoints.Replica) bool { return r.ID() == id })
}

// excludeZone excludes the replicas of a zone, of which another host has tried one, from the further attempts of a
// shard.
func (p *plan) excludeZone(i int, zone string) {
	p.excludeAll(i, func(r *endpoints.Replica) bool { return r.Zone() == zone })
}

// excludeAll excludes the matching replicas from the further attempts of a shard. Each replica is added once, because a
// host lists a pending attempt again in each reply.
func (p *plan) excludeAll(i int, which func(r *endpoints.Replica) bool) {
	s := &p.shards[i]
	for _, r := range p.Shards[i].Replicas() {
		if which(r) && !slices.Contains(s.tried, r) {
			s.tried = append(s.tried, r)
		}
	}
}
