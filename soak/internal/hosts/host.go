package hosts

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavaspring.org/platform/platformtest"
	"guavaspring.org/platform/settings"
	"guavaspring.org/soak/internal/proxy"
)

// Options configures a Host.
type Options struct {
	// Program is the path of the host program, Dir the directory of its settings and logs.
	Program, Dir string
	Name, IP     string
	// Zone is the host's availability zone.
	Zone string
	// Port is the first of the host's four ports; Seeds are the quoted addresses of other hosts.
	Port      int
	Seeds     string
	StoreAddr string
	// Bounds is added to the bounds of the settings.
	Bounds string
	// Grace is the time between SIGTERM and SIGKILL in the settings, in seconds; zero leaves it as it is.
	Grace int
}

// Host is one host, whose process may be restarted.
type Host struct {
	opts Options
	// Store is the proxy through which the host connects to the store.
	Store *proxy.Proxy

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	disturbed   time.Time
	ended       chan struct{}
	// mostMemory is the highest resident memory that WatchMemory has seen, in bytes.
	mostMemory int
	processes  []*Process
}

// New returns a host without a process; Start runs it.
func New(opts Options) (*Host, error) {
	p, err := proxy.New(opts.StoreAddr)
	if err != nil {
		return nil, err
	}
	return &Host{opts: opts, Store: p}, nil
}

// Name returns the host's name.
func (h *Host) Name() string { return h.opts.Name }

// Front returns the address for client requests.
func (h *Host) Front() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port) }

// Readiness returns the address for the platform's readiness checks.
func (h *Host) Readiness() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port+1) }

// Directory returns the address for clients that resolve the hosts to use.
func (h *Host) Directory() string { return fmt.Sprintf("%s:%d", h.opts.IP, h.opts.Port+2) }

// Start runs the process unless it is running. Faults of one host overlap, and the Host would lose track of the first
// process if it started a second one, which would then outlive the run.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running() {
		return nil
	}
	path := filepath.Join(h.opts.Dir, h.opts.Name+".toml")
	text := platformtest.Settings(h.opts.Name, h.opts.IP, h.opts.Zone, h.Store.Addr(), h.opts.Port, h.opts.Seeds)
	if h.opts.Grace > 0 {
		text = platformtest.WithGrace(text, h.opts.Grace)
	}
	text = strings.Replace(text, "[bounds]\n", "[bounds]\n"+h.opts.Bounds, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	// The process has its own copy of the descriptor, so an error of this Close loses no data.
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(ctx, h.opts.Program)
	cmd.Env = []string{settings.PathVariable + "=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	h.incarnation++
	p := &Process{Incarnation: h.incarnation, Started: time.Now()}
	h.processes = append(h.processes, p)
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		p.Exited, p.Err = time.Now(), err
		h.mu.Unlock()
		close(ended)
	}()
	h.disturbed = time.Now()
	return nil
}

// running reports whether the process has been started and has not exited; h.mu must be held.
func (h *Host) running() bool {
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

// Signal sends sig to the process, which counts as a fault.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
	if h.running() {
		p := h.processes[len(h.processes)-1]
		p.Signals = append(p.Signals, Sent{Signal: sig, At: h.disturbed})
	}
	// The process may have exited already.
	_ = h.cmd.Process.Signal(sig)
}

// Wait waits at most d for the process to exit and reports whether it did.
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

// Disturb records the current time as that of the last fault, for faults outside the process.
func (h *Host) Disturb() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
}

// State returns the number of the latest incarnation and the time of the last fault.
func (h *Host) State() (incarnation int, disturbed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.disturbed
}
