package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The figures of a small deployment, as the deploy page's example of a settings file has them.
const (
	grace         = 6 * time.Second
	restartDelay  = 300 * time.Millisecond
	memoryLimitMB = 284
	// stabilityWindow is how long a machine runs until it is in touch.
	stabilityWindow = 4 * time.Second
)

// host is one machine with one process of the system, started by the run command of the deploy file.
type host struct {
	name, ip, zone                       string
	front, readiness, directory, control int
	boot, log, root                      string
	command                              []string
	rec                                  *record
	mu                                   sync.Mutex
	cmd                                  *exec.Cmd
	ended                                chan struct{}
	starts                               []time.Time
	closed                               bool
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// settings is the file that the platform writes for a host.
func (h *host) settings(zones, seeds []string, storeAddr string) string {
	return form("settings.toml", map[string]any{
		"Name": h.name, "IP": h.ip, "Zone": h.zone, "Zones": zones, "Seeds": seeds, "Store": storeAddr, "MemoryMB": memoryLimitMB, "GraceS": int(grace.Seconds()),
		"Front": h.front, "Readiness": h.readiness, "Control": h.control, "Directory": h.directory,
	})
}

var errClosed = errors.New("the case has ended")

// close ends the host's process for good.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.kill()
}

// inTouch reports whether the host's process had run for stabilityWindow at a moment.
func (h *host) inTouch(t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := during(h.starts, t)
	return ok && t.Sub(at) >= stabilityWindow
}

// start starts the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return errClosed
	}
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(h.root, h.command[0]), h.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.root, out, out
	cmd.Env = []string{word("boot") + "=" + h.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err = cmd.Start(); err != nil {
		return err
	}
	h.starts = append(h.starts, time.Now())
	h.rec.add("platform starts %s", h.name)
	h.cmd, h.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		h.rec.add("process of %s has ended: %s", h.name, cmd.ProcessState)
		close(ended)
	}(h.ended)
	return nil
}

func (h *host) process() (*exec.Cmd, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd, h.ended
}

// stop ends the host as the platform does: SIGTERM, and SIGKILL after the grace. It returns when the process is gone.
func (h *host) stop() time.Time {
	cmd, ended := h.process()
	h.rec.say("platform sends SIGTERM to %s", h.name)
	at := time.Now()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		h.rec.say("platform sends SIGKILL to %s after %s", h.name, grace)
		_ = cmd.Process.Kill()
		<-ended
	}
	return at
}

// kill ends the host's process, whatever it does.
func (h *host) kill() {
	cmd, ended := h.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// watch plays the platform that kills a process over its memory limit and starts again one that has ended, until done is
// closed; it returns how often the process went over the limit.
func (h *host) watch(done <-chan struct{}) int {
	over := 0
	for {
		cmd, ended := h.process()
		select {
		case <-done:
			return over
		case <-ended:
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				h.rec.say("%s does not start: %v", h.name, err)
				return over
			}
		case <-time.After(20 * time.Millisecond):
			if mb := residentMB(cmd.Process.Pid); mb > memoryLimitMB {
				over++
				h.rec.say("%s holds %d MB, over its limit of %d MB: the platform kills it", h.name, mb, memoryLimitMB)
				h.kill()
			}
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err = fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
