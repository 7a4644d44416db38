package clock

import (
	"context"
	"time"
)

// Sleep returns once d has passed on c or ctx is done, whichever is first.
func Sleep(ctx context.Context, c Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-c.After(d):
	case <-ctx.Done():
	}
}
