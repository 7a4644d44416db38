package follow

import (
	"context"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/platform"
)

const (
	replicaInterval = time.Second
	// replicaReadsPerSecond is the number of reads of the replica list a second by all watchers together: a reply has
	// 2.5 MB at 24,000 replicas, and two reads a second deliver a change within 1 to 2 s.
	replicaReadsPerSecond = 2
	// fullRateHosts is the largest fleet in which an unchanged list is passed to Options.Replicas once a second. The
	// interval grows with a larger fleet, since routing compares thousands of rows each time.
	fullRateHosts = 200
)

// PollReplicas updates the replica list until ctx ends. Only watchers keep reading it from the platform, and a host
// without other members is a watcher; the others read it until they have it once, and then receive changes from the
// watchers. While the platform is down the last list stays in use, and a host without a list copies that of another.
func (f *Follower) PollReplicas(ctx context.Context) {
	var lastRead, lastDelivered time.Time
	var changes uint64
	for ctx.Err() == nil {
		now := f.opts.Clock.Now()
		_, known := f.opts.Listing.List()
		if (f.IsWatcher() || !known) && now.Sub(lastRead) >= f.readInterval() {
			lastRead = now
			f.readReplicas(ctx)
		}
		count := f.opts.Listing.Changes()
		if list, ok := f.list(); ok && (count != changes || now.Sub(lastDelivered) >= f.resendInterval()) {
			changes, lastDelivered = count, now
			f.opts.Replicas(ctx, list)
		}
		clock.Sleep(ctx, f.opts.Clock, replicaInterval)
	}
}

// readReplicas reads the list once. Rows that other hosts send during the read are newer than its result.
func (f *Follower) readReplicas(ctx context.Context) {
	started, changesBefore := f.opts.Clock.Now(), f.opts.Listing.Changes()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.opts.ReadReplicas(callCtx)
	if err == nil {
		f.opts.ReplicasRead(f.opts.Listing.ApplyRead(started, changesBefore, list))
		return
	}
	if len(f.Replicas()) > 0 {
		return
	}
	list, err = f.opts.AskReplicas(ctx)
	if err == nil && len(list) > 0 {
		f.mu.Lock()
		f.copiedReplicas = list
		f.mu.Unlock()
	}
}

// Replicas returns the current list of this host.
func (f *Follower) Replicas() []platform.Replica {
	list, _ := f.list()
	return list
}

// list returns the current list, and whether this host has read or received any.
func (f *Follower) list() ([]platform.Replica, bool) {
	if list, ok := f.opts.Listing.List(); ok {
		return list, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copiedReplicas, len(f.copiedReplicas) > 0
}

// readInterval returns the interval between two reads of the list by this host.
func (f *Follower) readInterval() time.Duration {
	return max(replicaInterval, time.Duration(len(f.Watchers()))*time.Second/replicaReadsPerSecond)
}

// resendInterval returns the interval at which an unchanged list is passed to Options.Replicas.
func (f *Follower) resendInterval() time.Duration {
	return max(replicaInterval, time.Duration(len(f.opts.Hosts()))*time.Second/fullRateHosts)
}
