package cpu

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// tick is the unit of processor time in /proc, fixed at 100 a second on Linux whatever the kernel's own rate.
const tick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's closing parenthesis.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// Of returns the processor time that the process has used since its start.
func Of(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time of %d: %w", pid, err)
	}
	// The command may hold spaces and parentheses, so fields are counted from its end.
	fields := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(fields) <= fieldSystem {
		return 0, fmt.Errorf("processor time of %d: %d fields", pid, len(fields))
	}
	user, err1 := strconv.ParseInt(string(fields[fieldUser]), 10, 64)
	system, err2 := strconv.ParseInt(string(fields[fieldSystem]), 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("processor time of %d: not numbers", pid)
	}
	return time.Duration(user+system) * tick, nil
}
