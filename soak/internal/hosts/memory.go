package hosts

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// MemoryLimit is the memory limit in the settings of a host, in bytes.
	MemoryLimit = 284 << 20
	// memoryInterval is the time between two checks of a process's memory.
	memoryInterval = 20 * time.Millisecond
	// killTimeout is the maximum wait for a killed process to exit.
	killTimeout = 2 * time.Second
)

// WatchMemory kills and restarts the process each time it exceeds MemoryLimit, as the platform does, until ctx ends. It calls
// exceeded with the resident memory in bytes.
func (h *Host) WatchMemory(ctx context.Context, exceeded func(resident int)) {
	for ctx.Err() == nil {
		select {
		case <-time.After(memoryInterval):
		case <-ctx.Done():
			return
		}
		resident := h.residentMemory()
		h.recordMemory(resident)
		if resident <= MemoryLimit {
			continue
		}
		exceeded(resident)
		h.Signal(syscall.SIGKILL)
		h.Wait(killTimeout)
		if err := h.Start(context.WithoutCancel(ctx)); err != nil {
			return
		}
	}
}

func (h *Host) recordMemory(resident int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mostMemory = max(h.mostMemory, resident)
}

// MostMemory returns the highest resident memory that WatchMemory has seen, in bytes.
func (h *Host) MostMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mostMemory
}

// residentMemory returns the resident memory of the process in bytes, zero if there is none.
func (h *Host) residentMemory() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	running := h.running()
	h.mu.Unlock()
	if !running {
		return 0
	}
	// The process may exit meanwhile.
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}
