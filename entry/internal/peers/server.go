package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// maxServed bounds the connections that other hosts hold here. A host has about eight probers, eight that hear from it
// and as many that send it parts of queries; all that start turn to the hosts that the settings name.
const maxServed = 256

// acceptPause is how long to wait after a connection could not be accepted.
const acceptPause = 100 * time.Millisecond

// server accepts connections of other hosts and serves them with net/rpc.
type server struct {
	rpc *rpc.Server
	t   *traffic

	mu    sync.Mutex
	conns map[*counted]bool
	done  sync.WaitGroup
}

func newServer(methods any, t *traffic) (*server, error) {
	s := &server{rpc: rpc.NewServer(), t: t, conns: map[*counted]bool{}}
	if err := s.rpc.RegisterName("Peers", methods); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return s, nil
}

// serve accepts until ctx ends and then closes every connection.
func (s *server) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// Without the pause a process that is out of file descriptors would spin here.
			s.pause(ctx)
			continue
		}
		c := newCounted(conn, s.t, maxRequest)
		s.admit(c)
		s.done.Go(func() {
			s.rpc.ServeConn(c)
			s.forget(c)
		})
	}
	s.closeAll()
	s.done.Wait()
}

func (s *server) pause(ctx context.Context) {
	select {
	case <-time.After(acceptPause):
	case <-ctx.Done():
	}
}

// admit takes a connection in, and closes the one that was not used for the longest time where there are too many, so
// that a broken or hostile host can't exhaust this one's memory.
//
// It guards against a large fleet that starts: each host turns to the three that the settings name, by two connections
// that it then hardly uses. Where newcomers were refused, those three would be out of reach for hosts that have work for
// them until the old connections end, and parts of queries fail with them.
func (s *server) admit(c *counted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServed {
		oldest := s.oldest()
		delete(s.conns, oldest)
		_ = oldest.Close()
	}
	s.conns[c] = true
}

// oldest returns the connection that was not used for the longest time.
func (s *server) oldest() *counted {
	var oldest *counted
	for c := range s.conns {
		if oldest == nil || c.used.Load() < oldest.used.Load() {
			oldest = c
		}
	}
	return oldest
}

func (s *server) forget(c *counted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
