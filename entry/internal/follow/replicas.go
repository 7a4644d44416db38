package follow

import (
	"context"
	"time"

	"guavaspring.org/core/platform"
)

const (
	replicaEvery = time.Second
	// replicaCalls is how many reads of the replica list all hosts together make each second; above so many hosts each
	// polls more rarely, since the platform's rates grow more slowly than the fleet.
	replicaCalls = 200
)

// PollReplicas reads the replica list until ctx ends. While the platform is down the last list stays in use; a host
// that has none yet takes over that of another host.
func (f *Follower) PollReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		if list, ok := f.readReplicas(ctx); ok {
			f.mu.Lock()
			f.replicas = list
			f.mu.Unlock()
			f.opts.Replicas(ctx, list)
		}
		f.pause(ctx, f.replicaPause())
	}
}

func (f *Follower) readReplicas(ctx context.Context) ([]platform.Replica, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.opts.ReadReplicas(callCtx)
	if err == nil {
		return list, true
	}
	if len(f.Replicas()) > 0 {
		return nil, false
	}
	list, err = f.opts.AskReplicas(ctx)
	return list, err == nil && len(list) > 0
}

// Replicas returns the list that was read last.
func (f *Follower) Replicas() []platform.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

func (f *Follower) replicaPause() time.Duration {
	return max(replicaEvery, time.Duration(len(f.opts.Hosts()))*time.Second/replicaCalls)
}
