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
	repairInterval        = 2 * time.Second
	repairIntervalPerHost = 2 * time.Millisecond
	// maxRows bounds the rows of one message, about 50 KB.
	maxRows = 512
)

// walkLimits bounds one comparison of two tables: leafRows is the largest number of rows for which a prefix is
// exchanged whole, leaves the number of prefixes exchanged.
type walkLimits struct{ leafRows, leaves int }

var (
	// repairWalk finds few differences in a table that is mostly equal.
	repairWalk = walkLimits{leafRows: 8, leaves: 16}
	// joinWalk fetches a whole table, 5,600 rows in about 32 calls.
	joinWalk = walkLimits{leafRows: 384, leaves: 256}
	// replicasWalk exchanges up to 2,048 rows: many change at once when the platform returns a partial list and then
	// the full one.
	replicasWalk = walkLimits{leafRows: 32, leaves: 64}
)

func walkLimitsFor(table Table) walkLimits {
	if table == TableReplicas {
		return replicasWalk
	}
	return repairWalk
}

// repair compares a table with the host at addr, prefix by prefix, and exchanges the rows that differ.
//
// News can be lost, or miss a host that was partitioned or paused; the sums in the probes then keep differing, and
// the walk over the prefix tree finds the rows in about one call a level. Its limits keep two tables that differ
// everywhere, as after a region was partitioned, from saturating the link; the next repair continues.
func (p *Peers) repair(ctx context.Context, addr netip.AddrPort, table Table, w walkLimits) {
	queue := []digest.Prefix{{}}
	for leaves := 0; len(queue) > 0 && leaves < w.leaves; {
		prefix := queue[0]
		var reply SumsReply
		if err := p.pool.call(ctx, addr, callTimeout, "Sums", &SumsArgs{Table: table, Prefix: prefix}, &reply); err != nil {
			return
		}
		whole, divide := w.split(prefix, p.sums(table, prefix), reply.Sums)
		p.shuffle(whole)
		p.shuffle(divide)
		for _, child := range whole[:min(len(whole), w.leaves-leaves)] {
			if !p.exchangeRows(ctx, addr, table, child) {
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
func (w walkLimits) split(prefix digest.Prefix, own, other []digest.Sum) (whole, divide []digest.Prefix) {
	if len(other) != digest.Fanout {
		return nil, nil
	}
	for _, i := range digest.Differing(own, other) {
		child := prefix.Child(i)
		if max(own[i].Rows, other[i].Rows) > w.leafRows && child.Valid() {
			divide = append(divide, child)
			continue
		}
		whole = append(whole, child)
	}
	return whole, divide
}

func (p *Peers) exchangeRows(ctx context.Context, addr netip.AddrPort, table Table, prefix digest.Prefix) bool {
	var reply Rows
	args := &RowsArgs{Table: table, Prefix: prefix, From: p.opts.List.Self().Peer, Rows: p.rows(table, prefix)}
	if err := p.pool.call(ctx, addr, callTimeout, "Rows", args, &reply); err != nil {
		return false
	}
	p.mergeRows(addr, reply)
	return true
}

func (p *Peers) shuffle(list []digest.Prefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opts.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func (p *Peers) tableSums() Sums {
	return Sums{
		Members:     p.opts.List.Digest(),
		Generations: digest.Total(p.opts.Store.Entries()),
		Rumors:      digest.Total(p.opts.Rumors.Entries()),
		Replicas:    p.opts.Listing.Total(),
	}
}

func (p *Peers) sums(table Table, prefix digest.Prefix) []digest.Sum {
	switch table {
	case TableMembers:
		return p.opts.List.Sums(prefix)
	case TableGenerations:
		return digest.Sums(p.opts.Store.Entries(), prefix)
	case TableRumors:
		return digest.Sums(p.opts.Rumors.Entries(), prefix)
	case TableReplicas:
		return digest.Sums(p.opts.Listing.Entries(), prefix)
	default:
		return nil
	}
}

func (p *Peers) rows(table Table, prefix digest.Prefix) Rows {
	switch table {
	case TableMembers:
		return Rows{Members: p.opts.List.Rows(prefix, maxRows)}
	case TableGenerations:
		return Rows{Marks: p.opts.Store.Marks(prefix)}
	case TableRumors:
		return Rows{Rumors: p.opts.Rumors.Rows(prefix, maxRows)}
	case TableReplicas:
		return Rows{Replicas: p.opts.Listing.Rows(prefix, maxRows)}
	default:
		return Rows{}
	}
}

func (p *Peers) mergeRows(from netip.AddrPort, rows Rows) {
	if row, refuted := p.opts.List.MergeRepaired(p.opts.Clock.Now(), rows.Members); refuted {
		p.newsQueue.Push(newsItem{host: row})
	}
	p.receiveNews(from, rows.Marks, rows.Rumors)
	// Replica rows from a repair are not passed on as news: other hosts find them by their sums, and a whole table is
	// thousands of rows.
	p.opts.Listing.Merge(rows.Replicas)
}
