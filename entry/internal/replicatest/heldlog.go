package replicatest

import (
	"regexp"
	"strconv"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// HeldLog receives the log lines of a memory budget.
type HeldLog struct {
	mu   sync.Mutex
	held []int64
}

var heldField = regexp.MustCompile(`"held"=(\d+)`)

// Logger returns the logger to pass to the budget.
func (l *HeldLog) Logger() logr.Logger {
	return funcr.New(func(_, args string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if m := heldField.FindStringSubmatch(args); m != nil {
			n, err := strconv.ParseInt(m[1], 10, 64)
			if err == nil {
				l.held = append(l.held, n)
			}
		}
	}, funcr.Options{})
}

// Held returns the number of bytes that were held each time that a message was cut off or refused and a line was logged.
func (l *HeldLog) Held() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}
