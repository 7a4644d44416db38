package panics

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-logr/logr"

	"guavaspring.org/entry/internal/events"
)

// Message is sent to the client of a request whose handler panicked.
const Message = "the host met an error of its own; whether the request ran is not known"

// Filter answers a request with status 500 if next panics before it has begun its response, and logs the panic. A response
// that has begun is broken off, so that it does not look complete.
//
// Package net/http would only close the connection, which looks like the loss of the host.
func Filter(log logr.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := &response{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(err)
			}
			events.Panicked.Log(log, "path", r.URL.Path, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			if resp.begun {
				panic(http.ErrAbortHandler)
			}
			// The header may hold that of a replica, which did not give this status.
			clear(w.Header())
			w.Header().Set("Connection", "close")
			http.Error(w, Message, http.StatusInternalServerError)
		}()
		next.ServeHTTP(resp, r)
	})
}

// response notes whether a response has begun.
type response struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader notes that the response has begun.
func (r *response) WriteHeader(status int) {
	r.begun = true
	r.ResponseWriter.WriteHeader(status)
}

// Write notes that the response has begun.
func (r *response) Write(p []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(p)
}

// FlushError notes that the response has begun, as a flush sends its header.
func (r *response) FlushError() error {
	r.begun = true
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap returns the server's writer, for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }
