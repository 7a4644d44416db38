package peers

import (
	"context"
	"fmt"

	"guavaspring.org/entry/internal/digest"
)

// Methods holds the net/rpc methods of the service Peers; net/rpc requires an exported type.
type Methods struct{ p *Peers }

// Probe merges the sender's packet and replies with one of this host, which proves that it is alive. The reply includes
// the sender's row if this host holds it for suspect or dead, so that the sender can refute.
func (m *Methods) Probe(args *Packet, reply *Packet) error {
	m.p.receive(args)
	*reply = m.p.newPacket(args.Member.From)
	reply.Member.Rows = append(reply.Member.Rows, m.p.opts.List.SuspicionOf(args.Member)...)
	return nil
}

// Ask probes a host on behalf of another one that gets no reply from it.
func (m *Methods) Ask(args *AskArgs, reply *AskReply) error {
	_, err := m.p.exchangePackets(context.Background(), args.Target, probeTimeout)
	reply.Reached = err == nil
	return nil
}

// Sums returns the digests of the children of a prefix.
func (m *Methods) Sums(args *SumsArgs, reply *SumsReply) error {
	if !args.Prefix.Valid() {
		return fmt.Errorf("prefix of depth %d: want 0 to %d", args.Prefix.Depth, digest.MaxDepth-1)
	}
	reply.Sums = m.p.sums(args.Table, args.Prefix)
	return nil
}

// Rows returns this host's rows below a prefix and merges the sender's.
func (m *Methods) Rows(args *RowsArgs, reply *Rows) error {
	if !args.Prefix.Selects() {
		return fmt.Errorf("prefix of depth %d: want 0 to %d", args.Prefix.Depth, digest.MaxDepth)
	}
	*reply = m.p.rows(args.Table, args.Prefix)
	m.p.mergeRows(args.From, args.Rows)
	return nil
}

// Tell merges news and passes on what was new here.
func (m *Methods) Tell(args *News, _ *struct{}) error {
	m.p.receiveNews(args.From, args.Marks, args.Rumors)
	m.p.receiveHosts(args.Hosts)
	m.p.receiveReplicas(args.Replicas)
	return nil
}

// Generation returns the accepted object of a service as it was recorded.
func (m *Methods) Generation(args *GenerationArgs, reply *GenerationReply) error {
	gen, ok := m.p.opts.Store.Get(args.Service)
	if !ok {
		return fmt.Errorf("no generation of service %.64q is in force here", args.Service)
	}
	raw, err := gen.Encoded()
	reply.Raw = raw
	return err
}

// Number returns the number of the generation of a service that is in force here; zero means none.
func (m *Methods) Number(args *GenerationArgs, reply *NumberReply) error {
	gen, _ := m.p.opts.Store.Get(args.Service)
	reply.Number = gen.Number
	return nil
}

// Replicas returns the replica list that this host read last.
func (m *Methods) Replicas(_ *ReplicasArgs, reply *ReplicasReply) error {
	reply.List = m.p.opts.Replicas()
	return nil
}
