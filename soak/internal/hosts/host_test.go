package hosts_test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/soak/internal/hosts"
)

// Two overlapping faults kill the same host and both start it again. A second process would fail on the ports in use
// and replace the first in the Host, so that the first would outlive the run.
func TestStartTwiceRunsOneProcess(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	qt.Assert(t, os.WriteFile(program, []byte("#!/bin/sh\necho started\nexec sleep 60\n"), 0o700), qt.IsNil)
	h, err := hosts.New(hosts.Options{Program: program, Dir: dir, Name: "h0", IP: "127.0.0.1", Port: 1, StoreAddr: "127.0.0.1:1"})
	qt.Assert(t, err, qt.IsNil)
	defer h.Store.Close()
	qt.Assert(t, h.Start(t.Context()), qt.IsNil)
	qt.Assert(t, h.Start(t.Context()), qt.IsNil)
	incarnation, _ := h.State()
	qt.Assert(t, incarnation, qt.Equals, 1)
	h.Signal(syscall.SIGKILL)
	qt.Assert(t, h.Wait(10*time.Second), qt.IsTrue)
	qt.Assert(t, h.Start(t.Context()), qt.IsNil)
	incarnation, _ = h.State()
	qt.Assert(t, incarnation, qt.Equals, 2)
	h.Signal(syscall.SIGKILL)
	qt.Assert(t, h.Wait(10*time.Second), qt.IsTrue)
	log, err := os.ReadFile(filepath.Join(dir, "h0.log"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(string(log), "started") <= 2, qt.IsTrue)
}
