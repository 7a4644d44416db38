package relay

import (
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/feed"
	"guavaspring.org/core/platform"
	"guavaspring.org/core/route"
)

// maxWait is the maximum time that a call of another host waits for changes.
const maxWait = 30 * time.Second

// Args is a request for the changes since a position in the store's history.
type Args struct {
	// Since is the revision that the caller has reached, and Era the restart era of that revision.
	Since, Era int64
	// Kept is the checksum of the objects retained from earlier eras that the caller last received from this host.
	Kept uint64
	// Wait is how long to wait for a change, or for the confirmation that there is none.
	Wait time.Duration
}

// Reply holds the changes since the position of the caller.
type Reply[T any] struct {
	// Full reports that Entries holds all objects, not only the changed ones.
	Full    bool
	Entries []feed.Entry[T]
	// Packed holds all objects in compressed form in place of Entries, until Unpack is called. Full lists make up most
	// of the traffic between hosts when a whole fleet starts at once.
	Packed []byte
	// Revision is the store's revision that the caller reaches with this reply, and Era its restart era.
	Revision, Era int64
	// Base is the revision up to which objects may be as restored from the backup that the era began with.
	Base int64
	// Kept holds the objects retained from earlier eras, unless the caller already has them, and KeptSum their
	// checksum.
	Kept    []feed.Entry[T]
	KeptSum uint64
	// Age is the time since the copy was last confirmed to be up to date with the store, negative if it never was.
	Age time.Duration
	// Held is how long the call waited before it was served.
	Held time.Duration
	// Returned reports that the store has just become reachable again.
	Returned bool
}

// Position returns the position in the store's history that the caller has reached.
func (a Args) Position() feed.Position { return feed.Position{Era: a.Era, Revision: a.Since} }

// Batch returns the changes as a batch.
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

// Configs returns the configurations that changed since the caller's revision.
func (m *Methods) Configs(args *Args, reply *Reply[route.Config]) error {
	return Serve(m.Clock, m.ConfigCopy, args, reply)
}

// Replicas returns the replicas that changed since the caller's revision.
func (m *Methods) Replicas(args *Args, reply *Reply[platform.Replica]) error {
	return Serve(m.Clock, m.ReplicaCopy, args, reply)
}

// Evacuations returns the evacuations that were ordered or released since the caller's revision.
func (m *Methods) Evacuations(args *Args, reply *Reply[platform.Evacuation]) error {
	return Serve(m.Clock, m.EvacuationCopy, args, reply)
}

// Serve waits until the copy changes or is confirmed again, and replies with the changes that the caller lacks.
func Serve[T any](clk clock.Clock, c *Copy[T], args *Args, reply *Reply[T]) error {
	began := clk.Now()
	st, changed := c.State()
	if args.Era == 0 && args.Since > 0 {
		// Hosts of earlier versions don't send their era.
		args.Era = st.Era
	}
	if behind := st.Before(args.Position()); args.Wait > 0 && (behind || st.Position == args.Position() && st.Kept == args.Kept) {
		select {
		case <-changed:
		case <-clk.After(min(args.Wait, maxWait)):
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
		reply.Kept, reply.KeptSum = c.Retained()
	}
	if reply.KeptSum == args.Kept {
		reply.Kept = nil
	}
	// This host is behind the caller and has no changes for it.
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
