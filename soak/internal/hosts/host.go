package hosts

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/settings"
	"guavaspring.org/soak/internal/proxy"
)

// Options says how a host is run.
type Options struct {
	// Program is the path of the program, Dir where its settings and logs go.
	Program, Dir string
	Name, IP     string
	// Port is the first of its four ports; Seeds are quoted addresses of other hosts.
	Port      int
	Seeds     string
	StoreAddr string
}

// Host is one host process, which may be started again.
type Host struct {
	opts Options
	// Store is the host's way to the store.
	Store *proxy.Proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	disturbed   time.Time
	ended       chan struct{}
}

// New returns a host that isn't started yet.
func New(opts Options) (*Host, error) {
	p, err := proxy.New(opts.StoreAddr)
	if err != nil {
		return nil, err
	}
	return &Host{opts: opts, Store: p}, nil
}

// Name returns the host's name.
func (h *Host) Name() string { return h.opts.Name }

// Front returns the address for clients, Directory that for clients that ask which hosts to use, Readiness that of the
// platform's checks.
func (h *Host) Front() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port) }

// Readiness returns the address of the platform's checks.
func (h *Host) Readiness() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port+1) }

// Directory returns the address for clients that ask which hosts to use.
func (h *Host) Directory() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port+2) }

// Start runs the process, unless it runs already: disturbances of one host overlap, and a second process would be lost
// sight of and outlive the soak.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs() {
		return nil
	}
	path := filepath.Join(h.opts.Dir, h.opts.Name+".toml")
	text := platformtest.Settings(h.opts.Name, h.opts.IP, "osborne-hall", h.Store.Addr(), h.opts.Port, h.opts.Seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	log, err := os.OpenFile(filepath.Join(h.opts.Dir, h.opts.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	// The process has its own copy; this one is only closed.
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(ctx, h.opts.Program)
	cmd.Env = []string{settings.PathVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		// The soak ends processes on purpose; how they end is no finding by itself.
		_ = cmd.Wait()
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
	h.incarnation++
	h.disturbed = time.Now()
	return nil
}

// runs reports whether the process has been started and has not ended; h.mu is held.
func (h *Host) runs() bool {
	if h.ended == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
	// A process that has ended meanwhile takes no signal.
	_ = h.cmd.Process.Signal(sig)
}

// Wait waits until the process has ended, or reports false after some time.
func (h *Host) Wait(d time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Disturb notes that the host's links are disturbed now.
func (h *Host) Disturb() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
}

// State returns the number of the running incarnation and when the host was last disturbed.
func (h *Host) State() (incarnation int, disturbed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.disturbed
}
