package acceptor

import (
	"errors"
	"net"
)

// temporary is an error of an accept that an HTTP server tries again. Package net/http retries only after some errors: it
// would end the server if, for example, the kernel is short of memory.
type temporary struct{ error }

// retried returns an error after which the server accepts again, unless the listener is closed.
func retried(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err
	}
	return temporary{err}
}

// Unwrap returns the error of the accept.
func (t temporary) Unwrap() error { return t.error }

// Timeout reports that the error is no time-out.
func (temporary) Timeout() bool { return false }

// Temporary reports that the next accept may succeed.
func (temporary) Temporary() bool { return true }
