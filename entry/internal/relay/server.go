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

// Args asks for what is newer than a moment of the store's history.
type Args struct {
	// Since is the revision that the asker has reached, and Era the era that it belongs to.
	Since, Era int64
	// Kept is the checksum of what the asker was told last of what the other host keeps from earlier eras.
	Kept uint64
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
	// Revision is the store's revision that this brings the asker to, and Era the era that it belongs to.
	Revision, Era int64
	// Base is the revision up to which objects may be as the store's copy had them when the era began.
	Base int64
	// Kept holds what the host keeps from earlier eras, where the asker was told otherwise, and KeptSum its checksum.
	Kept    []feed.Entry[T]
	KeptSum uint64
	// Age is how long before the reply the store was known to hold nothing newer; negative where it never was.
	Age time.Duration
	// Held is how long the question was held before it was answered.
	Held time.Duration
	// Returned says that the store was away until a moment ago.
	Returned bool
}

// Position returns the moment of the store's history that the asker has reached.
func (a Args) Position() feed.Position { return feed.Position{Era: a.Era, Revision: a.Since} }

// Batch returns what is newer as a batch.
func (r Reply[T]) Batch() feed.Batch[T] {
	return feed.Batch[T]{Entries: r.Entries, Era: r.Era, Revision: r.Revision, Base: r.Base}
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
	return Serve(m.Clock, m.ConfigCopy, args, reply)
}

// Replicas returns replicas that changed since the asker's revision.
func (m *Methods) Replicas(args *Args, reply *Reply[platform.Replica]) error {
	return Serve(m.Clock, m.ReplicaCopy, args, reply)
}

// Evacuations returns evacuations that were ordered or taken back since the asker's revision.
func (m *Methods) Evacuations(args *Args, reply *Reply[platform.Evacuation]) error {
	return Serve(m.Clock, m.EvacuationCopy, args, reply)
}

// Serve waits until the copy is newer or fresher than it was, and answers with what the asker lacks.
func Serve[T any](clk clock.Clock, c *Copy[T], args *Args, reply *Reply[T]) error {
	began := clk.Now()
	st, changed := c.State()
	if args.Era == 0 && args.Since > 0 {
		// A host of an earlier version doesn't say its era.
		args.Era = st.Era
	}
	if behind := st.Before(args.Position()); args.Wait > 0 && (behind || st.Position == args.Position() && st.Kept == args.Kept) {
		select {
		case <-changed:
		case <-clk.After(min(args.Wait, mostWait)):
		}
		st, _ = c.State()
	}
	reply.Held = clk.Now().Sub(began)
	batch, full, returned := c.Since(args.Position())
	reply.Revision, reply.Era, reply.Base, reply.Returned, reply.Age = batch.Revision, batch.Era, batch.Base, returned, -1
	if !st.Confirmed.IsZero() {
		reply.Age = clk.Now().Sub(st.Confirmed)
	}
	if args.Era <= batch.Era {
		reply.Kept, reply.KeptSum = c.Kept()
	}
	if reply.KeptSum == args.Kept {
		reply.Kept = nil
	}
	// A host that is itself behind the asker has nothing newer for it.
	if batch.Position().Before(args.Position()) {
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
