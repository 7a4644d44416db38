package follow

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
)

const (
	replicaEvery = time.Second
	// replicaCalls is how many reads of the replica list all watchers together make each second: a reply has 2.5 MB at
	// 24,000 replicas, and two a second show a change within a second or two.
	replicaCalls = 2
	// againHosts is the number of hosts for each of which an unchanged list is handed over once a second; in a larger
	// fleet it is more rarely, since routing compares thousands of rows each time.
	againHosts = 200
)

// PollReplicas keeps the replica list until ctx ends. Only watchers read it from the platform, and a host that knows no
// other host is one; the others read it until they have it once, and then hear of changes from the watchers. While the
// platform is down the last list stays in use, and a host that has none yet takes over that of another host.
func (f *Follower) PollReplicas(ctx context.Context) {
	var read, handed time.Time
	var changes uint64
	for ctx.Err() == nil {
		now := f.opts.Clock.Now()
		_, known := f.opts.Listing.List()
		if (f.Watches() || !known) && now.Sub(read) >= f.replicaPause() {
			read = now
			f.readReplicas(ctx)
		}
		count := f.opts.Listing.Changes()
		if list, ok := f.list(); ok && (count != changes || now.Sub(handed) >= f.againPause()) {
			changes, handed = count, now
			f.opts.Replicas(ctx, list)
		}
		clock.Sleep(ctx, f.opts.Clock, replicaEvery)
	}
}

// readReplicas reads the list once. Rows that other hosts tell of while the reading is on its way are newer than it.
func (f *Follower) readReplicas(ctx context.Context) {
	started, begun := f.opts.Clock.Now(), f.opts.Listing.Changes()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.opts.ReadReplicas(callCtx)
	if err == nil {
		f.opts.ReplicasRead(f.opts.Listing.Read(started, begun, list))
		return
	}
	if len(f.Replicas()) > 0 {
		return
	}
	list, err = f.opts.AskReplicas(ctx)
	if err == nil && len(list) > 0 {
		f.mu.Lock()
		f.asked = list
		f.mu.Unlock()
	}
}

// Replicas returns the list as this host has it now.
func (f *Follower) Replicas() []platform.Replica {
	list, _ := f.list()
	return list
}

// list also reports whether anything was read or heard yet.
func (f *Follower) list() ([]platform.Replica, bool) {
	if list, ok := f.opts.Listing.List(); ok {
		return list, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked, len(f.asked) > 0
}

func (f *Follower) replicaPause() time.Duration {
	return max(replicaEvery, time.Duration(len(f.Watchers()))*time.Second/replicaCalls)
}

func (f *Follower) againPause() time.Duration {
	return max(replicaEvery, time.Duration(len(f.opts.Hosts()))*time.Second/againHosts)
}
