package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kratos/kratos/v2/transport"

	"guavaspring.org/core/platform"
	"guavaspring.org/core/upstream"
	"guavaspring.org/standin/internal/replica"
)

const registerTimeout = 2 * time.Second

// Options describes the replicas of one service.
type Options struct {
	Service  string
	Shards   int
	Replicas int
	// Only is the ID of the only replica to run, empty for all.
	Only string
	// Except is the ID of a replica that another process runs, empty for none.
	Except string
	// Base is the address of the first replica; the ports of the others count up.
	Base  netip.AddrPort
	Zones []string
	// Version is the index version that every replica holds at the start.
	Version int64
	// Replica is the template of each replica; ID, Holdings and State are filled in.
	Replica  replica.Options
	Platform netip.AddrPort
}

// Fleet runs the replicas of one service.
type Fleet struct{ opts Options }

// New returns a Fleet; Servers opens its ports.
func New(opts Options) *Fleet { return &Fleet{opts: opts} }

// Servers opens a port for each replica, counting up from Base, and returns their servers.
func (f *Fleet) Servers() ([]transport.Server, error) {
	var list []transport.Server
	for _, i := range f.localReplicas() {
		opts := f.opts.Replica
		opts.ID = f.id(i)
		opts.Holdings = []upstream.Holding{{Version: f.opts.Version, Shard: i / f.opts.Replicas, Shards: f.opts.Shards}}
		opts.State = func(id string, state platform.ReplicaState, gone bool) {
			ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
			defer cancel()
			// Hosts treat the list as a hint that may miss a change, so a failed update is a case they have to handle.
			_ = f.updateRow(ctx, i, id, state, gone)
		}
		rep, err := replica.New(f.addr(i), opts)
		if err != nil {
			return nil, err
		}
		list = append(list, rep.HTTP())
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("--only: %q is not a replica of %s; want %s to %s", f.opts.Only, f.opts.Service, f.id(0), f.id(f.opts.Shards*f.opts.Replicas-1))
	}
	return list, nil
}

// Total time and interval of the attempts to register a replica while the platform does not respond.
const (
	registerFor   = 10 * time.Second
	registerEvery = 50 * time.Millisecond
)

// Register registers every replica with the platform stand-in. It retries, as the platform may be starting at the same
// time.
func (f *Fleet) Register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerFor)
	defer cancel()
	for _, i := range f.localReplicas() {
		if err := f.register(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) register(ctx context.Context, i int) error {
	for {
		err := f.updateRow(ctx, i, f.id(i), platform.StateLive, false)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(registerEvery):
		case <-ctx.Done():
			return err
		}
	}
}

func (f *Fleet) updateRow(ctx context.Context, i int, id string, state platform.ReplicaState, gone bool) error {
	row := platform.Replica{
		Service: f.opts.Service, Addr: f.addr(i), State: state,
		Zone: f.opts.Zones[i%f.opts.Replicas%len(f.opts.Zones)],
	}
	b, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode row of %s: %w", id, err)
	}
	method := http.MethodPut
	if gone {
		method = http.MethodDelete
	}
	url := fmt.Sprintf("http://%s/control/hosts/%s", f.opts.Platform, id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("register %s: %w", id, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("register %s: %w", id, err)
	}
	return resp.Body.Close()
}

// localReplicas returns the indexes of the replicas that this process runs.
func (f *Fleet) localReplicas() []int {
	var list []int
	for i := range f.opts.Shards * f.opts.Replicas {
		if f.id(i) != f.opts.Except && (f.opts.Only == "" || f.opts.Only == f.id(i)) {
			list = append(list, i)
		}
	}
	return list
}

func (f *Fleet) id(i int) string {
	return fmt.Sprintf("%s-%d-%d", f.opts.Service, i/f.opts.Replicas, i%f.opts.Replicas)
}

func (f *Fleet) addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(f.opts.Base.Addr(), f.opts.Base.Port()+uint16(i))
}
