package cpu

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// tick is the unit of CPU time in /proc (USER_HZ), 100 per second on Linux independent of the kernel's timer frequency.
const tick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the closing parenthesis of the command.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// Of returns the CPU time that the process has used since its start.
func Of(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	// The command may contain spaces and parentheses, so the fields are counted from its end.
	fields := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(fields) <= fieldSystem {
		return 0, fmt.Errorf("CPU time of process %d: /proc/PID/stat has only %d fields after the command", pid, len(fields))
	}
	user, err1 := strconv.ParseInt(string(fields[fieldUser]), 10, 64)
	system, err2 := strconv.ParseInt(string(fields[fieldSystem]), 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("CPU time of process %d: /proc/PID/stat has times that are not integers", pid)
	}
	return time.Duration(user+system) * tick, nil
}
