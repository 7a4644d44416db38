package hosts

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Sent is a signal sent to a process.
type Sent struct {
	Signal syscall.Signal
	At     time.Time
}

// Process is one process of a host. Exited is zero while it runs; Err describes an exit status other than zero.
type Process struct {
	Incarnation     int
	Started, Exited time.Time
	Signals         []Sent
	Err             error
}

// First returns the time at which a signal was first sent to the process, zero if it was not.
func (p *Process) First(sig syscall.Signal) time.Time {
	i := slices.IndexFunc(p.Signals, func(s Sent) bool { return s.Signal == sig })
	if i < 0 {
		return time.Time{}
	}
	return p.Signals[i].At
}

// Processes returns the processes of the host in the order of their starts.
func (h *Host) Processes() []Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Process
	for _, p := range h.processes {
		q := *p
		q.Signals = slices.Clone(p.Signals)
		list = append(list, q)
	}
	return list
}

func (h *Host) logPath() string { return filepath.Join(h.opts.Dir, h.opts.Name+".log") }

// Log returns the lines that the host's processes have logged.
func (h *Host) Log() ([]string, error) {
	b, err := os.ReadFile(h.logPath())
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", h.opts.Name, err)
	}
	return strings.Split(string(b), "\n"), nil
}

// Throttle lets the host's processes run only for part of each cycle, until ctx ends.
func (h *Host) Throttle(ctx context.Context, run, cycle time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(run)
		h.signalQuietly(syscall.SIGSTOP)
		time.Sleep(cycle - run)
		h.signalQuietly(syscall.SIGCONT)
	}
}

// signalQuietly sends a signal that is not recorded.
func (h *Host) signalQuietly(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.running() {
		// The process may have exited already.
		_ = h.cmd.Process.Signal(sig)
	}
}
