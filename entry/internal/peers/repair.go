package peers

import (
	"context"
	"net/netip"
	"time"

	"guavaspring.org/entry/internal/digest"
)

const (
	// repairInterval is the minimum time between two repairs of one table. repairIntervalPerHost is added for each host
	// to that of members and replicas, since news in flight makes sums differ for a few seconds and a large fleet
	// always has some.
	repairEvery     = 2 * time.Second
	repairEveryHost = 2 * time.Millisecond
	// maxRows bounds the rows of one message, about 50 KB.
	maxRows = 512
)

// walkLimits bounds one comparison of two tables: leafRows is the largest number of rows for which a prefix is
// exchanged whole, leaves the number of prefixes exchanged.
type walk struct{ leafRows, leaves int }

var (
	// repairWalk finds few differences in a table that is mostly equal.
	repairWalk = walk{leafRows: 8, leaves: 16}
	// joinWalk fetches a whole table, 5,600 rows in about 32 calls.
	joinWalk = walk{leafRows: 384, leaves: 256}
	// replicasWalk exchanges up to 2,048 rows: many change at once when the platform returns a partial list and then
	// the full one.
	replicasWalk = walk{leafRows: 32, leaves: 64}
)

func walkOf(table Table) walk {
	if table == TableReplicas {
		return replicasWalk
	}
	return repairWalk
}

// repair compares a table with the host at addr, prefix by prefix, and exchanges the rows that differ.
//
// News can be lost, or miss a host that was partitioned or paused; the sums in the probes then keep differing, and
// the walk over the prefix tree finds the rows in about one call a level. Its limits keep two tables that differ everywhere,
// as after a region was partitioned, from saturating the link; the next repair continues.
func (p *Peers) repair(ctx context.Context, addr netip.AddrPort, table Table, w walk) {
	queue := []digest.Prefix{{}}
	for leaves := 0; len(queue) > 0 && leaves < w.leaves; {
		at := queue[0]
		var reply SumsReply
		if err := p.pool.call(ctx, addr, callTimeout, "Sums", &SumsArgs{Table: table, Prefix: at}, &reply); err != nil {
			return
		}
		whole, divide := w.split(at, p.sums(table, at), reply.Sums)
		p.shuffle(whole)
		p.shuffle(divide)
		for _, child := range whole[:min(len(whole), w.leaves-leaves)] {
			if !p.exchange(ctx, addr, table, child) {
				return
			}
			leaves++
		}
		queue = append(queue[1:], divide...)
		queue = queue[:min(len(queue), w.leaves)]
	}
}

// split returns the children of a prefix that differ: those small enough to be exchanged whole and those to be divided
// further.
func (w walk) split(at digest.Prefix, own, other []digest.Sum) (whole, divide []digest.Prefix) {
	if len(other) != digest.Fan {
		return nil, nil
	}
	for _, i := range digest.Differing(own, other) {
		child := at.Child(i)
		if max(own[i].Rows, other[i].Rows) > w.leafRows && child.Valid() {
			divide = append(divide, child)
			continue
		}
		whole = append(whole, child)
	}
	return whole, divide
}

func (p *Peers) exchange(ctx context.Context, addr netip.AddrPort, table Table, at digest.Prefix) bool {
	var reply Rows
	args := &RowsArgs{Table: table, Prefix: at, From: p.opts.List.Self().Peer, Rows: p.rows(table, at)}
	if err := p.pool.call(ctx, addr, callTimeout, "Rows", args, &reply); err != nil {
		return false
	}
	p.take(addr, reply)
	return true
}

func (p *Peers) shuffle(list []digest.Prefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func (p *Peers) totals() Sums {
	return Sums{
		Members:     p.opts.List.Digest(),
		Generations: digest.Total(p.opts.Store.Entries()),
		Rumors:      digest.Total(p.opts.Rumors.Entries()),
		Replicas:    p.opts.Listing.Total(),
	}
}

func (p *Peers) sums(table Table, at digest.Prefix) []digest.Sum {
	switch table {
	case TableMembers:
		return p.opts.List.Sums(at)
	case TableGenerations:
		return digest.Sums(p.opts.Store.Entries(), at)
	case TableRumors:
		return digest.Sums(p.opts.Rumors.Entries(), at)
	case TableReplicas:
		return digest.Sums(p.opts.Listing.Entries(), at)
	default:
		return nil
	}
}

func (p *Peers) rows(table Table, at digest.Prefix) Rows {
	switch table {
	case TableMembers:
		return Rows{Members: p.opts.List.Rows(at, maxRows)}
	case TableGenerations:
		return Rows{Marks: p.opts.Store.Marks(at)}
	case TableRumors:
		return Rows{Rumors: p.opts.Rumors.Rows(at, maxRows)}
	case TableReplicas:
		return Rows{Replicas: p.opts.Listing.Rows(at, maxRows)}
	default:
		return Rows{}
	}
}

func (p *Peers) take(from netip.AddrPort, rows Rows) {
	if row, refuted := p.opts.List.Learn(p.opts.Clock.Now(), rows.Members); refuted {
		p.news.Push(item{host: row})
	}
	p.hear(from, rows.Marks, rows.Rumors)
	// Replica rows from a repair are not passed on as news: other hosts find them by their sums, and a whole table is
	// thousands of rows.
	p.opts.Listing.Merge(rows.Replicas)
}
