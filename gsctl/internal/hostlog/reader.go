package hostlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"guavaspring.org/gsctl/internal/loglines"
)

// maxHostEvents is the maximum number of host events printed; the latest ones are kept.
const maxHostEvents = 20

// Options configures a Reader.
type Options struct {
	// Out receives the printed trace.
	Out io.Writer
	// Before is how long before the last line of the request host events are printed.
	Before time.Duration
}

// Reader prints the trace of a request.
type Reader struct{ opts Options }

// New returns a reader.
func New(opts Options) *Reader { return &Reader{opts: opts} }

// line is one line of a host's log.
type line struct {
	at     time.Time
	msg    string
	fields map[string]json.RawMessage
}

// ErrNotFound is returned if no log line names the request.
var ErrNotFound = errors.New("no line names the request: it reached none of these hosts, or its host was lost while it ran")

// Trace prints the lines of a request in the log of one host, and the host events shortly before.
func (r *Reader) Trace(name, id string, log io.Reader) error {
	requestLines, hostEvents, err := read(id, log)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if len(requestLines) == 0 {
		return ErrNotFound
	}
	fmt.Fprintf(r.opts.Out, "%s\n", name)
	recent := r.recentEvents(requestLines, hostEvents)
	for _, l := range requestLines {
		r.printLine(l)
	}
	r.printHostEvents(recent)
	r.printHostLoss(requestLines, hostEvents)
	return nil
}

const (
	msgAdmitted = "request_admitted"
	msgStarted  = "host_started"
	msgStopped  = "host_stopped"
)

// printHostLoss prints a note if the host process died while the request ran: the host started again, with
// neither the end of the request nor a stop of the host logged before.
func (r *Reader) printHostLoss(requestLines, hostEvents []line) {
	last := requestLines[len(requestLines)-1]
	if last.msg != msgAdmitted {
		return
	}
	for _, l := range hostEvents {
		switch {
		case l.at.Before(last.at):
		case l.msg == msgStopped:
			return
		case l.msg == msgStarted:
			fmt.Fprintf(r.opts.Out, "  the host was lost while the request ran: it started again at %s\n", clockTime(l.at))
			return
		}
	}
}

// TraceFiles calls Trace for the logs of several hosts. It returns ErrNotFound if none of them names the request.
func (r *Reader) TraceFiles(id string, paths []string) error {
	found := false
	err := loglines.Files(paths, func(name string, log io.Reader) error {
		err := r.Trace(name, id, log)
		if errors.Is(err, ErrNotFound) {
			return nil
		}
		found = found || err == nil
		return err
	})
	if err != nil {
		return err
	}
	if !found {
		return errors.Join(fmt.Errorf("%s: %w", id, ErrNotFound), r.printHostStarts(paths))
	}
	return nil
}

// printHostStarts prints the start times of each host: a request in no log may have arrived while its host was down.
func (r *Reader) printHostStarts(paths []string) error {
	return loglines.Files(paths, func(name string, log io.Reader) error {
		_, hostEvents, err := read("", log)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		for _, l := range hostEvents {
			if l.msg == msgStarted {
				fmt.Fprintf(r.opts.Out, "%s started at %s\n", name, clockTime(l.at))
			}
		}
		return nil
	})
}

// read returns the lines of the request, and the lines that belong to no request (host events).
func read(id string, log io.Reader) (requestLines, hostEvents []line, err error) {
	want, _ := json.Marshal(id)
	err = loglines.Scan(log, func(_, object []byte) {
		l, ok := parse(object)
		if !ok {
			return
		}
		request, has := l.fields["request"]
		switch {
		case has && bytes.Equal(request, want):
			requestLines = append(requestLines, l)
		case !has:
			hostEvents = append(hostEvents, l)
		}
	})
	return requestLines, hostEvents, err
}

func parse(object []byte) (line, bool) {
	var l line
	if err := json.Unmarshal(object, &l.fields); err != nil {
		// A truncated line can't be distinguished from the output of another program.
		return line{}, false
	}
	if json.Unmarshal(l.fields["msg"], &l.msg) != nil || json.Unmarshal(l.fields["ts"], &l.at) != nil {
		return line{}, false
	}
	for _, key := range []string{"msg", "ts", "event"} {
		delete(l.fields, key)
	}
	return l, true
}

// printLine writes a line, followed by its steps on one line each.
func (r *Reader) printLine(l line) {
	var steps []string
	if json.Unmarshal(l.fields["steps"], &steps) == nil {
		delete(l.fields, "steps")
	}
	fmt.Fprintf(r.opts.Out, "  %s %s%s\n", clockTime(l.at), l.msg, formatFields(l.fields))
	for _, s := range steps {
		fmt.Fprintf(r.opts.Out, "      %s\n", s)
	}
}

// recentEvents returns the host events within Options.Before of the last line of the request. Events of replicas are
// included only for services that the request was sent to.
func (r *Reader) recentEvents(requestLines, hostEvents []line) []line {
	last := requestLines[len(requestLines)-1].at
	var recent []line
	for _, l := range hostEvents {
		if !l.at.After(last) && last.Sub(l.at) <= r.opts.Before && isRelevant(l, requestLines) {
			recent = append(recent, l)
		}
	}
	return recent
}

// printHostEvents prints the last maxHostEvents of the host events before the end of the request.
func (r *Reader) printHostEvents(recent []line) {
	if len(recent) == 0 {
		fmt.Fprintf(r.opts.Out, "  nothing that the host believed changed in the %s before\n", r.opts.Before)
		return
	}
	fmt.Fprintf(r.opts.Out, "  what the host came to believe in the %s before\n", r.opts.Before)
	if skipped := len(recent) - maxHostEvents; skipped > 0 {
		fmt.Fprintf(r.opts.Out, "      %d earlier lines are left out\n", skipped)
		recent = recent[skipped:]
	}
	for _, l := range recent {
		fmt.Fprintf(r.opts.Out, "      %s %s%s\n", clockTime(l.at), l.msg, formatFields(l.fields))
	}
}

// isRelevant reports whether a host event may concern the request.
func isRelevant(l line, requestLines []line) bool {
	if !strings.HasPrefix(l.msg, "replica_") {
		return true
	}
	var service string
	if json.Unmarshal(l.fields["service"], &service) != nil {
		return true
	}
	return slices.ContainsFunc(requestLines, func(a line) bool {
		steps := a.fields["steps"]
		return bytes.Contains(steps, []byte(" "+service+" ")) || bytes.Contains(steps, []byte(" "+service+":")) || bytes.Contains(a.fields["service"], []byte(service))
	})
}

func clockTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// formatFields formats the fields as key=value pairs, sorted by key.
func formatFields(fields map[string]json.RawMessage) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%s", key, fields[key])
	}
	return b.String()
}
