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

// Options describes the replicas of one service.
type Options struct {
	Service     string
	Shards      int
	Replicas    int
	Base        netip.AddrPort
	Zones       []string
	Slots       int
	Connections int
	ConnectCost time.Duration
	ServiceTime time.Duration
	Platform    netip.AddrPort
}

// Fleet is the replicas of one service.
type Fleet struct{ opts Options }

// New returns a fleet that listens once Servers is called.
func New(opts Options) *Fleet { return &Fleet{opts: opts} }

// Servers opens a port for each replica, counting up from Base, and returns their servers.
func (f *Fleet) Servers() ([]transport.Server, error) {
	var list []transport.Server
	for i := range f.opts.Shards * f.opts.Replicas {
		rep := replica.New(replica.Options{
			ID: f.id(i), Slots: f.opts.Slots, Connections: f.opts.Connections,
			ConnectCost: f.opts.ConnectCost, ServiceTime: f.opts.ServiceTime,
			Holdings: []upstream.Holding{{Version: 1, Shard: i / f.opts.Replicas, Shards: f.opts.Shards}},
		})
		l, err := rep.Listen(f.addr(i))
		if err != nil {
			return nil, err
		}
		list = append(list, rep.HTTP(l))
	}
	return list, nil
}

// Register lists every replica on the platform stand-in.
func (f *Fleet) Register(ctx context.Context) error {
	for i := range f.opts.Shards * f.opts.Replicas {
		row := platform.Replica{
			Service: f.opts.Service, Addr: f.addr(i), State: platform.StateLive,
			Zone: f.opts.Zones[i%f.opts.Replicas%len(f.opts.Zones)],
		}
		b, err := json.Marshal(row)
		if err != nil {
			return fmt.Errorf("encode row of %s: %w", f.id(i), err)
		}
		url := fmt.Sprintf("http://%s/control/hosts/%s", f.opts.Platform, f.id(i))
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(b))
		if err != nil {
			return fmt.Errorf("register %s: %w", f.id(i), err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("register %s: %w", f.id(i), err)
		}
		_ = resp.Body.Close()
	}
	return nil
}

func (f *Fleet) id(i int) string {
	return fmt.Sprintf("%s-%d-%d", f.opts.Service, i/f.opts.Replicas, i%f.opts.Replicas)
}

func (f *Fleet) addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(f.opts.Base.Addr(), f.opts.Base.Port()+uint16(i))
}
