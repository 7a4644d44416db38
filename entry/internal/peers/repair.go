package peers

import (
	"context"
	"net/netip"
	"time"

	"guavaspring.org/entry/internal/digest"
)

const (
	// repairEvery is the least time between two repairs of one table; repairEveryHost is added for each host, since
	// news on its way makes sums differ for a few seconds and a larger fleet always has some.
	repairEvery     = 2 * time.Second
	repairEveryHost = 2 * time.Millisecond
	// maxRows bounds the rows of one reply, about 50 KB.
	maxRows = 512
)

// walk bounds one comparison of two tables: the rows of a prefix exchanged whole, and the prefixes exchanged.
type walk struct{ leafRows, leaves int }

var (
	// repairWalk finds few differences in a table that is mostly equal.
	repairWalk = walk{leafRows: 8, leaves: 16}
	// joinWalk takes over a whole table, at 5,600 rows in about 32 calls.
	joinWalk = walk{leafRows: 384, leaves: 256}
	// replicasWalk carries up to 2,048 rows, since a list that comes back after a short one changes them all at once.
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
// News sent with probes can be lost, or pass by a host that was cut off or paused; the sums in each probe then go on
// differing, and this walk finds the rows in about one call a level. Its bound keeps two tables that differ
// everywhere, as after a region was cut off, from taking all the traffic at once: the next repair goes on.
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

// split sorts the children of at that differ into those small enough to be exchanged and those to be divided further.
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
	// What a repair brought is not told on: the others' sums show it to them, and a whole table would be thousands.
	p.opts.Listing.Merge(rows.Replicas)
}
