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
	"guavaspring.org/entry/internal/crosszone"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/homes"
	"guavaspring.org/entry/internal/subquery"
)

const (
	// subqueryDelayAllowance is how much later than a direct attempt an attempt through another host may finish before
	// it is hedged without a reply from that host. It covers the round trip and the processing time of a busy host.
	subqueryDelayAllowance = 15 * time.Millisecond
	// maxSubqueryDelayShare bounds subqueryDelayAllowance as a share of the route's objective: on urgent routes the
	// added latency outweighs the bytes saved.
	maxSubqueryDelayShare = 0.1
	// subqueryOverdueTimeout is how long past its due time a reply of another host may be before the connection counts
	// as broken.
	subqueryOverdueTimeout = 150 * time.Millisecond
	// maxSubqueryBodyBytes is the maximum size of a request's body that is sent to other hosts: each message to a host holds a
	// copy, and hosts limit the size of messages.
	maxSubqueryBodyBytes = 64 << 10
	// pendingPollTimeout is the longest wait of one call for pending parts.
	pendingPollTimeout = 250 * time.Millisecond
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

// peerSubquery is the part of a request that another host gathers.
type peerSubquery struct {
	peer subquery.Peer
	// shards are the indexes of the part's shards in the request; pending holds those whose attempts at the other host
	// have not ended.
	shards  []int
	pending map[int]bool
	// sentAt is when the subquery was sent.
	sentAt time.Time
	// replied means that the host has replied at least once.
	replied bool
}

// peerReply is a reply from the host that gathers a part.
type peerReply struct {
	sub *peerSubquery
	// first marks the reply that carries the merged records.
	first bool
	reply subquery.Reply
	err   error
}

// sendSubqueries asks hosts in other zones for the shards without a replica in this host's zone.
func (p *plan) sendSubqueries() {
	for _, g := range p.subqueryGroups() {
		if peer, ok := p.runner.opts.Subqueries.Peer(g.Zone); ok {
			p.sendSubquery(peer, g.Shards)
		}
	}
}

// subqueryGroups returns the shards that hosts in other zones are asked for.
func (p *plan) subqueryGroups() []crosszone.Group {
	opts := p.runner.opts.Subqueries
	if opts.Zones == nil || len(p.Route.Shards) == 0 || !p.Route.Idempotent || p.Suspect || !p.allowsSubqueries() {
		return nil
	}
	if len(p.Request.Body) > maxSubqueryBodyBytes {
		return nil
	}
	if !homes.Allow(p.Homes, p.runner.opts.Region) {
		// Outside the request's home regions, only the host chosen by the client may receive it.
		return nil
	}
	shards := make([]crosszone.Shard, len(p.Shards))
	for i, s := range p.Shards {
		shards[i].Near, shards[i].Zones = s.Zones()
	}
	return crosszone.Groups(shards, opts.Zones(), p.runner.opts.Draw())
}

// allowsSubqueries reports whether the route's objective leaves time for the extra hop.
func (p *plan) allowsSubqueries() bool {
	objective := p.Route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return subqueryDelayAllowance <= time.Duration(maxSubqueryDelayShare*float64(objective))
}

// sendSubquery asks another host to send the first attempts of some shards.
func (p *plan) sendSubquery(peer subquery.Peer, shards []int) {
	sub := &peerSubquery{peer: peer, shards: shards, pending: map[int]bool{}, sentAt: p.now}
	names := make([]string, len(shards))
	for n, i := range shards {
		s := &p.shards[i]
		s.sent++
		s.running++
		s.viaPeer = sub
		sub.pending[i] = true
		p.Shards[i].BeginAttempt(p.now)
		names[n] = p.Shards[i].Name
		if s.sent < p.Route.Attempts {
			s.hedgeAt = p.now.Add(p.timing.hedgeDelay + subqueryDelayAllowance)
		}
	}
	p.recordStep(ViaPeer, shards[0], endpoints.Choice{}, strconv.Itoa(len(shards))+" shards by "+peer.Name+" in zone "+peer.Zone)
	p.report.Through += len(shards)
	args := &subquery.Args{
		Job: rand.Uint64(), Version: p.Version, Request: *p.Request, Shards: names, Top: p.Route.TopK, Left: p.Deadline.Sub(p.now), First: p.timing.hedgeDelay,
		Within: p.cutoff().Sub(p.now), Usual: p.timing.medianLatency, Unloaded: p.unloaded, Homes: p.Homes, Fingerprint: p.Fingerprint,
	}
	go p.receiveReplies(sub, args)
}

// errSubqueryEnded means that the other host has ended the subquery whose pending parts were requested.
var errSubqueryEnded = errors.New("the other host has ended the subquery")

// errSubqueryLate means that hedges were sent before the other host's first reply arrived.
var errSubqueryLate = errors.New("the other host answered late")

// receiveReplies passes on the replies of the host that gathers a part, until nothing is pending or the request has
// ended.
func (p *plan) receiveReplies(sub *peerSubquery, args *subquery.Args) {
	reply, err := p.gather(sub, args)
	for first := true; ; first = false {
		select {
		case p.replies <- peerReply{sub: sub, first: first, reply: reply, err: err}:
		case <-p.ctx.Done():
			sub.peer.Drop(args.Job)
			return
		}
		if err != nil || len(reply.Pending) == 0 {
			return
		}
		reply, err = p.awaitPending(sub, args.Job)
	}
}

// gather requests the first reply. A host that sends it late gets no subqueries for a while, like one that fails to
// answer: the delay is its own, because it lists unfinished replicas as pending in time.
func (p *plan) gather(sub *peerSubquery, args *subquery.Args) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, args.First+subqueryOverdueTimeout)
	defer cancel()
	reply, err := sub.peer.Gather(ctx, args)
	late := p.runner.opts.Clock.Now().Sub(sub.sentAt) > args.First+subqueryDelayAllowance
	switch {
	case p.ctx.Err() != nil:
		// The request has ended.
	case err != nil:
		p.runner.opts.Subqueries.Failed(sub.peer, err)
	case late:
		p.runner.opts.Subqueries.Failed(sub.peer, errSubqueryLate)
	}
	return reply, err
}

// awaitPending requests the pending parts.
func (p *plan) awaitPending(sub *peerSubquery, job uint64) (subquery.Reply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, pendingPollTimeout+subqueryOverdueTimeout)
	defer cancel()
	reply, err := sub.peer.Rest(ctx, &subquery.RestArgs{Job: job, Wait: pendingPollTimeout})
	switch {
	case p.ctx.Err() != nil:
		// The request has ended.
	case err != nil:
		p.runner.opts.Subqueries.Failed(sub.peer, err)
	case reply.Forgotten:
		err = errSubqueryEnded
	}
	return reply, err
}

// endSubqueries counts the remaining attempts at other hosts as ended when the request ends.
func (p *plan) endSubqueries() {
	for i := range p.shards {
		if sub := p.shards[i].viaPeer; sub != nil && sub.pending[i] {
			p.endAttempt(sub, i)
		}
	}
}

// handleReply processes a reply of the host that gathers a part.
func (p *plan) handleReply(r peerReply) {
	if r.err != nil || r.reply.Declined != "" {
		p.failSubquery(r)
		return
	}
	body := r.reply.Records
	for _, part := range r.reply.Parts {
		i, ok := p.closeShard(r.sub, part.Shard)
		if !ok {
			continue
		}
		p.Shards[i].RecordReply(p.now, part.Took, p.unloaded)
		if !r.first {
			body = part.Body
		}
		p.Learned.Replied(p.now, part.Took)
		res := exchange.Result{Kind: upstream.KindOK, Status: http.StatusOK, Reply: opaque.Reply{Stamp: part.Stamp}, Body: body, LateID: part.LateID, Took: part.Took}
		p.handlePart(i, res, r.first)
		// The first reply holds the records of all its parts once; they are attached to the first part.
		body = nil
	}
	for _, f := range r.reply.Failed {
		if i, ok := p.closeShard(r.sub, f.Shard); ok {
			p.excludeReplica(i, f.Replica)
			p.handleResult(attemptResult{shard: i, res: exchange.Result{Kind: f.Kind, Detail: f.Detail, LateID: f.LateID, Took: f.Took}})
		}
	}
	r.sub.replied = true
	for _, w := range r.reply.Pending {
		if w.Shard < 0 || w.Shard >= len(r.sub.shards) {
			continue
		}
		i := r.sub.shards[w.Shard]
		p.excludeReplica(i, w.Replica)
		if s := &p.shards[i]; !s.hedgeAt.IsZero() {
			s.hedgeAt = p.now
		}
	}
}

// closeShard ends the attempt of the part's nth shard at the other host and returns the shard's index in the request.
// It reports false if no such attempt is pending.
func (p *plan) closeShard(sub *peerSubquery, n int) (int, bool) {
	if n < 0 || n >= len(sub.shards) || !sub.pending[sub.shards[n]] {
		return 0, false
	}
	i := sub.shards[n]
	p.endAttempt(sub, i)
	return i, true
}

// endAttempt counts the shard's attempt at the other host as ended.
func (p *plan) endAttempt(sub *peerSubquery, i int) {
	delete(sub.pending, i)
	p.Shards[i].EndAttempt(p.now, p.now.Sub(sub.sentAt))
}

// handlePart processes one part of a reply. The records of a merged part are inseparable from those of the other parts
// in the reply, so it replaces any result that this host already has for the shard: with both, the answer would hold
// the shard's records twice.
func (p *plan) handlePart(i int, res exchange.Result, merged bool) {
	s := &p.shards[i]
	if merged && s.answered {
		s.running--
		s.result = res
		return
	}
	p.handleResult(attemptResult{shard: i, res: res})
}

// failSubquery ends the attempts at a host that declined, was unreachable or did not answer. Unless the host declined
// or was unreachable, the attempts count as having run, since it may have sent them.
func (p *plan) failSubquery(r peerReply) {
	res := exchange.Result{Kind: upstream.KindNotSent, Detail: "the other host declined: " + r.reply.Declined}
	if r.err != nil {
		res.Detail = r.err.Error()
		if !errors.Is(r.err, subquery.ErrNotSent) {
			res.Kind = upstream.KindBroken
		}
	}
	for _, i := range r.sub.shards {
		if !r.sub.pending[i] {
			continue
		}
		p.endAttempt(r.sub, i)
		if res.Kind == upstream.KindBroken {
			p.excludeZone(i, r.sub.peer.Zone)
		}
		p.handleResult(attemptResult{shard: i, res: res})
	}
}

// excludeReplica excludes a replica that another host has tried from the further attempts of a shard.
func (p *plan) excludeReplica(i int, id string) {
	p.excludeMatching(i, func(r *endpoints.Replica) bool { return r.ID() == id })
}

// excludeZone excludes the replicas of a zone, of which another host has tried one, from the further attempts of a
// shard.
func (p *plan) excludeZone(i int, zone string) {
	p.excludeMatching(i, func(r *endpoints.Replica) bool { return r.Zone() == zone })
}

// excludeMatching excludes the matching replicas from the further attempts of a shard. Each replica is added once,
// because a host lists a pending attempt again in each reply.
func (p *plan) excludeMatching(i int, match func(r *endpoints.Replica) bool) {
	s := &p.shards[i]
	for _, r := range p.Shards[i].Replicas() {
		if match(r) && !slices.Contains(s.tried, r) {
			s.tried = append(s.tried, r)
		}
	}
}
