package relay

import (
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
)

// mostWait bounds how long a call of another host waits here.
const mostWait = 30 * time.Second

// Args asks for what is newer than a revision.
type Args struct {
	Since int64
	// Wait is how long to wait for something newer, or for the news that there is nothing.
	Wait time.Duration
}

// Reply holds what is newer.
type Reply[T any] struct {
	// Full says that Entries holds all objects, not only those that changed.
	Full    bool
	Entries []feed.Entry[T]
	// Packed holds all objects in place of Entries, until Unpack: they are most of what hosts tell each other where a
	// fleet starts at once.
	Packed []byte
	// Revision is the store's revision that this brings the asker to.
	Revision int64
	// Age is how long ago the store was known to hold nothing newer; negative where it never was.
	Age time.Duration
	// Returned says that the store was away until a moment ago.
	Returned bool
}

// Methods is the net/rpc service that other hosts call.
type Methods struct {
	Clock          clock.Clock
	ConfigCopy     *Copy[route.Config]
	ReplicaCopy    *Copy[platform.Replica]
	EvacuationCopy *Copy[platform.Evacuation]
}

// Configs returns configurations that are newer than the asker's.
func (m *Methods) Configs(args *Args, reply *Reply[route.Config]) error {
	return serve(m.Clock, m.ConfigCopy, args, reply)
}

// Replicas returns replicas that changed since the asker's revision.
func (m *Methods) Replicas(args *Args, reply *Reply[platform.Replica]) error {
	return serve(m.Clock, m.ReplicaCopy, args, reply)
}

// Evacuations returns evacuations that were ordered or taken back since the asker's revision.
func (m *Methods) Evacuations(args *Args, reply *Reply[platform.Evacuation]) error {
	return serve(m.Clock, m.EvacuationCopy, args, reply)
}

// serve waits until the copy is newer or fresher than it was, and answers with what the asker lacks.
func serve[T any](clk clock.Clock, c *Copy[T], args *Args, reply *Reply[T]) error {
	st, changed := c.State()
	if st.Revision <= args.Since {
		select {
		case <-changed:
		case <-clk.After(min(args.Wait, mostWait)):
		}
		st, _ = c.State()
	}
	batch, full, returned := c.Since(args.Since)
	reply.Revision, reply.Returned, reply.Age = batch.Revision, returned, -1
	if !st.Confirmed.IsZero() {
		reply.Age = clk.Now().Sub(st.Confirmed)
	}
	// A host that is itself behind the asker has nothing for it.
	if batch.Revision < args.Since {
		return nil
	}
	reply.Full = full && batch.Revision > 0
	if !reply.Full {
		reply.Entries = batch.Entries
		return nil
	}
	packed, err := c.pack(batch)
	reply.Packed = packed
	return err
}
