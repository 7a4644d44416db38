package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault string

// The faults.
const (
	// None forwards all bytes at once.
	None Fault = "none"
	// Delay forwards them a while later.
	Delay Fault = "delay"
	// Silent forwards nothing in either direction and keeps connections open, new ones too.
	Silent Fault = "silent"
	// OneWay forwards what the client sends and nothing that comes back.
	OneWay Fault = "one_way"
	// Refuse closes each new connection at once.
	Refuse Fault = "refuse"
)

const (
	// delay is how long Delay holds bytes back.
	delay = 40 * time.Millisecond
	// step is how often a connection that forwards nothing looks whether it may again.
	step      = 5 * time.Millisecond
	blockSize = 16 << 10
)

// Proxy forwards connections from its own address to another one.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New returns a proxy to target that forwards until it is closed.
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

// Addr returns the proxy's own address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Set changes what the proxy does from now on.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Fault returns what the proxy does now.
func (p *Proxy) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Reset breaks all connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without lingering the close is a reset; a connection that has ended meanwhile needs none.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
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

func (p *Proxy) serve(here net.Conn) {
	var d net.Dialer
	there, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = here.Close()
		return
	}
	p.keep(here, there)
	var both sync.WaitGroup
	both.Go(func() { p.forward(there, here, false) })
	both.Go(func() { p.forward(here, there, true) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, here)
	delete(p.conns, there)
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies from one side to the other until either ends; back says that it is the direction of replies.
func (p *Proxy) forward(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, blockSize)
	for {
		n, err := from.Read(buf)
		p.hold(back)
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

// hold waits as long as the fault keeps bytes of the direction back.
func (p *Proxy) hold(back bool) {
	for {
		switch f := p.Fault(); {
		case f == Delay:
			time.Sleep(delay)
			return
		case f == Silent, f == OneWay && back:
			time.Sleep(step)
		default:
			return
		}
	}
}
