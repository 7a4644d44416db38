package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"guavaspring.org/entry/internal/memory"
)

// maxServerConns bounds the connections of other hosts to this one. About eight hosts probe it, eight receive news from
// it and eight send it subqueries; besides, all starting hosts connect to the seeds that the settings name.
const maxServerConns = 256

// acceptRetryDelay is the delay after a failed accept. Without it a process that is out of file descriptors would spin.
const acceptRetryDelay = 100 * time.Millisecond

// server accepts connections of other hosts and serves them with net/rpc.
type server struct {
	rpc *rpc.Server
	t   *traffic
	// budget limits the memory of the requests; nil means no limit.
	budget *memory.Budget

	mu       sync.Mutex
	conns    map[*countedConn]bool
	handlers sync.WaitGroup
}

func newServer(methods any, t *traffic, budget *memory.Budget) (*server, error) {
	s := &server{rpc: rpc.NewServer(), t: t, budget: budget, conns: map[*countedConn]bool{}}
	if err := s.rpc.RegisterName("Peers", methods); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return s, nil
}

// serve accepts connections until ctx ends and then closes all of them.
func (s *server) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.pause(ctx)
			continue
		}
		c, err := newCountedConn(conn, s.t, maxRequest, s.budget)
		if err != nil {
			// The budget logs that it is exceeded.
			continue
		}
		s.addConn(c)
		s.handlers.Go(func() {
			s.rpc.ServeConn(c)
			s.removeConn(c)
		})
	}
	s.closeAll()
	s.handlers.Wait()
}

func (s *server) pause(ctx context.Context) {
	select {
	case <-time.After(acceptRetryDelay):
	case <-ctx.Done():
	}
}

// addConn registers a connection. At maxServerConns it closes the least recently used one, so that a broken or hostile
// host can't exhaust memory.
//
// New connections are not refused instead: when a large fleet starts, each host opens two connections to each of the
// three seeds and then hardly uses them. Hosts with subqueries for the seeds could not connect until those idle
// connections end, and their queries would miss parts.
func (s *server) addConn(c *countedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServerConns {
		oldest := s.leastRecentlyUsed()
		delete(s.conns, oldest)
		_ = oldest.Close()
	}
	s.conns[c] = true
}

// leastRecentlyUsed returns the connection that has been idle for the longest time.
func (s *server) leastRecentlyUsed() *countedConn {
	var oldest *countedConn
	for c := range s.conns {
		if oldest == nil || c.lastUsed.Load() < oldest.lastUsed.Load() {
			oldest = c
		}
	}
	return oldest
}

func (s *server) removeConn(c *countedConn) {
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
