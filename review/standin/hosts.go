package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a small deployment, as the deploy page's example of a settings file has them.
const (
	graceS        = 6 * time.Second
	restartDelay  = 300 * time.Millisecond
	memoryLimitMB = 284
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
	starts                               int
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
func (h *host) settings(zones []string, seeds []string, storeAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"entry\"\nclass = \"front\"\nserves = [\"front\",\"directory\",\"control\"]\nip = %q\nzone = %q\nregion = \"perth\"\n", h.name, h.ip, h.zone)
	fmt.Fprintf(&b, "seeds = [\"%s\"]\nbootstrap = true\nbeatMs = 1200\n[zones]\n", strings.Join(seeds, `","`))
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"perth\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront = \"%[1]s:%[2]d\"\nreadiness = \"%[1]s:%[3]d\"\ncontrol = \"%[1]s:%[4]d\"\ndirectory = \"%[1]s:%[5]d\"\n", h.ip, h.front, h.readiness, h.control, h.directory)
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryLimitMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\n", memoryLimitMB)
	b.WriteString("[bounds]\nseedLagS = 3\nreuseDelayS = 2\nstabilityWindowMs = 4000\nackMs = 5000\ncatchupS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxStretchMs = 12000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 52\nrecoverS = 12\nttl_max_s = 5\n")
	fmt.Fprintf(&b, "[platform]\naddr = %q\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n", storeAddr)
	return b.String()
}

// start starts the host's process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(h.root, h.command[0]), h.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.root, out, out
	cmd.Env = []string{"GUAVASPRING_BOOT=" + h.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err = cmd.Start(); err != nil {
		return err
	}
	h.starts++
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
	case <-time.After(graceS):
		h.rec.say("platform sends SIGKILL to %s after %s", h.name, graceS)
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
