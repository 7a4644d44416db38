package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"guavaspring.org/core/upstream"
)

// Options configures a rollout from one index version to another.
type Options struct {
	// Base is the address of the first replica; the ports of the others count up.
	Base     netip.AddrPort
	Replicas int
	// OldVersion and OldShards describe the version that the replicas hold; consecutive replicas hold the same shard.
	OldVersion int64
	OldShards  int
	// Version and Shards describe the new version; a different number of shards is a repartition.
	Version int64
	Shards  int
	// Step is the pause between two replicas.
	Step time.Duration
	// Overlap is how long replicas keep the old version after the last one has received the new one.
	Overlap time.Duration
}

// Run adds the new version to one replica after another, waits for Overlap, and then removes the old version in the
// same order.
func Run(ctx context.Context, opts Options) error {
	for i := range opts.Replicas {
		if err := setHoldings(ctx, opts, i, opts.oldHolding(i), opts.newHolding(i)); err != nil {
			return err
		}
		if err := sleep(ctx, opts.Step); err != nil {
			return err
		}
	}
	if err := sleep(ctx, opts.Overlap); err != nil {
		return err
	}
	for i := range opts.Replicas {
		if err := setHoldings(ctx, opts, i, opts.newHolding(i)); err != nil {
			return err
		}
		if err := sleep(ctx, opts.Step); err != nil {
			return err
		}
	}
	return nil
}

func (opts Options) oldHolding(i int) upstream.Holding {
	return upstream.Holding{Version: opts.OldVersion, Shard: i * opts.OldShards / opts.Replicas, Shards: opts.OldShards}
}

func (opts Options) newHolding(i int) upstream.Holding {
	return upstream.Holding{Version: opts.Version, Shard: i * opts.Shards / opts.Replicas, Shards: opts.Shards}
}

func setHoldings(ctx context.Context, opts Options, i int, list ...upstream.Holding) error {
	addr := netip.AddrPortFrom(opts.Base.Addr(), opts.Base.Port()+uint16(i))
	b, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("holdings of %s: %w", addr, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/control/holdings", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("holdings of %s: %w", addr, err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("holdings of %s: %w", addr, err)
	}
	return resp.Body.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("rollout interrupted: %w", ctx.Err())
	}
}
