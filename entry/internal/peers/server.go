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

// maxServed bounds the connections that other hosts hold here; a host has about eight probers and a few that repair.
const maxServed = 256

// acceptPause is how long to wait after a connection could not be accepted.
const acceptPause = 100 * time.Millisecond

// server accepts connections of other hosts and serves them with net/rpc.
type server struct {
	rpc *rpc.Server
	t   *traffic

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

func newServer(methods any, t *traffic) (*server, error) {
	s := &server{rpc: rpc.NewServer(), t: t, conns: map[net.Conn]bool{}}
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
		if !s.admit(conn) {
			continue
		}
		s.done.Go(func() {
			s.rpc.ServeConn(&counted{Conn: conn, t: s.t, most: maxRequest})
			s.forget(conn)
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

// admit refuses a connection over the bound, so that a broken or hostile peer can't exhaust the host's memory.
func (s *server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
