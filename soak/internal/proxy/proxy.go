package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is the network fault that a proxy applies to its connections.
type Fault string

// The faults.
const (
	// None forwards all bytes immediately.
	None Fault = "none"
	// Delay forwards each block after a fixed delay.
	Delay Fault = "delay"
	// Silent forwards nothing in either direction. It keeps connections open and accepts new ones.
	Silent Fault = "silent"
	// OneWay forwards bytes from the client and holds back all replies.
	OneWay Fault = "one_way"
	// Refuse closes each new connection immediately.
	Refuse Fault = "refuse"
)

const (
	// delay is how long Delay holds back each block.
	delay = 40 * time.Millisecond
	// pollInterval is the interval at which a blocked connection checks whether the fault has ended.
	pollInterval = 5 * time.Millisecond
	blockSize    = 16 << 10
)

// Proxy forwards connections from its own address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a proxy to target, which forwards until Close.
func New(target string) (*Proxy, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{listener: l, target: target, fault: None, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set sets the fault for new and open connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Fault returns the current fault.
func (p *Proxy) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// With a linger of zero, Close sends a reset. An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.Fault() == Refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	var d net.Dialer
	target, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, target)
	var both sync.WaitGroup
	both.Go(func() { p.forward(target, client, false) })
	both.Go(func() { p.forward(client, target, true) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, target)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies bytes until either side ends; back marks the direction of replies.
func (p *Proxy) forward(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, blockSize)
	for {
		n, err := from.Read(buf)
		p.waitWhileBlocked(back)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileBlocked blocks while the fault holds back bytes in the given direction.
func (p *Proxy) waitWhileBlocked(back bool) {
	for {
		switch f := p.Fault(); {
		case f == Delay:
			time.Sleep(delay)
			return
		case f == Silent, f == OneWay && back:
			time.Sleep(pollInterval)
		default:
			return
		}
	}
}
