package callers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"guavaspring.org/core/caller"
)

// Limits on the parts of a request. Lengths are in bytes.
const (
	maxBodyBytes   = 1 << 20
	maxNameBytes   = 128
	maxKeyBytes    = 256
	maxTicketBytes = 1024
	maxTickets     = 100
	maxDeadline    = 24 * time.Hour
	defaultLimit   = 20
	maxLimit       = 1000
	unnamedCaller  = "unnamed"
)

// readBody returns the whole request body. It writes an error response itself and then returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	// Without a read deadline, a caller that sends its body byte by byte holds a goroutine and a connection forever.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeProblem(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("the body is over %d bytes", maxBodyBytes))
		return nil, false
	case err != nil:
		writeProblem(w, http.StatusBadRequest, "bad_request", "the body can't be read: "+err.Error())
		return nil, false
	}
	return b, true
}

// DecodeQuery decodes the body of a query and sets the default limit. The error is one line, fit for the caller.
func DecodeQuery(body []byte) (caller.Query, error) {
	var q caller.Query
	if err := decode(body, &q); err != nil {
		return caller.Query{}, err
	}
	if q.Limit == 0 {
		q.Limit = defaultLimit
	}
	if q.Limit < 0 || q.Limit > maxLimit {
		return caller.Query{}, fmt.Errorf("limit: %d is out of range; want 1 to %d", q.Limit, maxLimit)
	}
	return q, checkLength("key", q.Key, maxKeyBytes)
}

// DecodeWrite decodes the body of a write. The error is one line, fit for the caller.
func DecodeWrite(body []byte) (caller.Write, error) {
	var op caller.Write
	if err := decode(body, &op); err != nil {
		return caller.Write{}, err
	}
	return op, checkLength("op_id", op.OpID, maxKeyBytes)
}

// decode accepts exactly one JSON object and rejects unknown keys, so that a misspelled key isn't silently ignored.
func decode(body []byte, v any) error {
	switch trimmed := bytes.TrimSpace(body); {
	case len(trimmed) == 0:
		return errors.New("the body is empty; want a JSON object")
	case bytes.Equal(trimmed, []byte("null")):
		return errors.New("the body is null; want a JSON object")
	case !utf8.Valid(body):
		// The decoder replaces invalid bytes by U+FFFD, so the query would differ from the one sent.
		return errors.New("the body is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return describeDecodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the body goes on after the JSON object")
	}
	return nil
}

// describeDecodeError rewrites an error of encoding/json without Go-specific terms.
func describeDecodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return fmt.Errorf("%s: %s is the wrong type; want %s", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Errorf("%s is an unknown key", key)
	}
	return fmt.Errorf("the body is not the JSON wanted: %s", strings.TrimPrefix(err.Error(), "json: "))
}

// requestID returns the ID in the request header, or a new one.
func (h *handler) requestID(r *http.Request) (string, error) {
	id, err := printableHeader(r, caller.HeaderRequest, maxNameBytes)
	if id == "" && err == nil {
		return h.opts.NewID(), nil
	}
	return id, err
}

// callerName returns the name of the caller from the request header, or unnamedCaller.
func callerName(r *http.Request) (string, error) {
	name, err := printableHeader(r, caller.HeaderCaller, maxNameBytes)
	if name == "" && err == nil {
		return unnamedCaller, nil
	}
	return name, err
}

// printableHeader returns a header value of at most maxBytes. It allows printable ASCII only, because the value is
// copied unchanged into responses, log lines and further requests.
func printableHeader(r *http.Request, name string, maxBytes int) (string, error) {
	v := r.Header.Get(name)
	if err := checkLength(name, v, maxBytes); err != nil {
		return "", err
	}
	for i := range len(v) {
		if v[i] < ' ' || v[i] > '~' {
			return "", fmt.Errorf("%s: %q holds other than printable ASCII", name, v)
		}
	}
	return v, nil
}

// checkLength rejects a value longer than maxBytes.
func checkLength(name, v string, maxBytes int) error {
	if len(v) > maxBytes {
		return fmt.Errorf("%s: %d bytes long; want at most %d", name, len(v), maxBytes)
	}
	return nil
}

// parseDeadline returns the deadline from the request header: defaultTimeout after arrival if there is none, and at
// most maxTimeout after it.
func parseDeadline(r *http.Request, arrived time.Time, defaultTimeout, maxTimeout time.Duration) (time.Time, error) {
	s := r.Header.Get(caller.HeaderDeadline)
	if s == "" {
		return arrived.Add(defaultTimeout), nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, fmt.Errorf("%s: %q is not a whole number of milliseconds from 1 to %d", caller.HeaderDeadline, s, maxDeadline.Milliseconds())
	}
	return arrived.Add(min(time.Duration(ms)*time.Millisecond, maxTimeout)), nil
}

// parseAddressRequest parses the parameters of a request for addresses.
func parseAddressRequest(r *http.Request) (AddressRequest, error) {
	q := r.URL.Query()
	req := AddressRequest{Service: q.Get("service"), Zone: q.Get("zone")}
	if req.Service == "" {
		return req, errors.New("service: missing; want the name of a service")
	}
	if err := checkLength("zone", req.Zone, maxNameBytes); err != nil {
		return req, err
	}
	var err error
	if req.Caller, err = callerName(r); err != nil {
		return req, err
	}
	if s := q.Get("tickets"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxTickets {
			return req, fmt.Errorf("tickets: %q is not a number from 0 to %d", s, maxTickets)
		}
		req.Tickets = n
	}
	return req, nil
}
