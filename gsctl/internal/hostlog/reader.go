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

// mostBeliefs is the maximum number of host events printed; the latest ones are kept.
const mostBeliefs = 20

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
	about, beliefs, err := read(id, log)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if len(about) == 0 {
		return ErrNotFound
	}
	fmt.Fprintf(r.opts.Out, "%s\n", name)
	near := r.near(about, beliefs)
	for _, l := range about {
		r.print(l)
	}
	r.believed(near)
	r.lost(about, beliefs)
	return nil
}

const (
	msgAdmitted = "request_admitted"
	msgStarted  = "host_started"
	msgStopped  = "host_stopped"
)

// lost prints a note if the host process died while the request ran: the host started again, with neither the end of the
// request nor a stop of the host logged before.
func (r *Reader) lost(about, beliefs []line) {
	last := about[len(about)-1]
	if last.msg != msgAdmitted {
		return
	}
	for _, l := range beliefs {
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
		return errors.Join(fmt.Errorf("%s: %w", id, ErrNotFound), r.starts(paths))
	}
	return nil
}

// starts prints the start times of each host: a request in no log may have arrived while its host was down.
func (r *Reader) starts(paths []string) error {
	return loglines.Files(paths, func(name string, log io.Reader) error {
		_, beliefs, err := read("", log)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		for _, l := range beliefs {
			if l.msg == msgStarted {
				fmt.Fprintf(r.opts.Out, "%s started at %s\n", name, clockTime(l.at))
			}
		}
		return nil
	})
}

// read returns the lines of the request, and the lines that belong to no request (host events).
func read(id string, log io.Reader) (about, beliefs []line, err error) {
	want, _ := json.Marshal(id)
	err = loglines.Scan(log, func(_, object []byte) {
		l, ok := parse(object)
		if !ok {
			return
		}
		request, has := l.fields["request"]
		switch {
		case has && bytes.Equal(request, want):
			about = append(about, l)
		case !has:
			beliefs = append(beliefs, l)
		}
	})
	return about, beliefs, err
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

// print writes a line, followed by its steps on one line each.
func (r *Reader) print(l line) {
	var steps []string
	if json.Unmarshal(l.fields["steps"], &steps) == nil {
		delete(l.fields, "steps")
	}
	fmt.Fprintf(r.opts.Out, "  %s %s%s\n", clockTime(l.at), l.msg, text(l.fields))
	for _, s := range steps {
		fmt.Fprintf(r.opts.Out, "      %s\n", s)
	}
}

// near returns the host events within Options.Before of the last line of the request. Events of replicas are included
// only for services that the request was sent to.
func (r *Reader) near(about, beliefs []line) []line {
	last := about[len(about)-1].at
	var near []line
	for _, l := range beliefs {
		if !l.at.After(last) && last.Sub(l.at) <= r.opts.Before && concerns(l, about) {
			near = append(near, l)
		}
	}
	return near
}

func (r *Reader) believed(near []line) {
	if len(near) == 0 {
		fmt.Fprintf(r.opts.Out, "  nothing that the host believed changed in the %s before\n", r.opts.Before)
		return
	}
	fmt.Fprintf(r.opts.Out, "  what the host came to believe in the %s before\n", r.opts.Before)
	if skipped := len(near) - mostBeliefs; skipped > 0 {
		fmt.Fprintf(r.opts.Out, "      %d earlier lines are left out\n", skipped)
		near = near[skipped:]
	}
	for _, l := range near {
		fmt.Fprintf(r.opts.Out, "      %s %s%s\n", clockTime(l.at), l.msg, text(l.fields))
	}
}

func concerns(l line, about []line) bool {
	if !strings.HasPrefix(l.msg, "replica_") {
		return true
	}
	var service string
	if json.Unmarshal(l.fields["service"], &service) != nil {
		return true
	}
	return slices.ContainsFunc(about, func(a line) bool {
		steps := a.fields["steps"]
		return bytes.Contains(steps, []byte(" "+service+" ")) || bytes.Contains(steps, []byte(" "+service+":")) || bytes.Contains(a.fields["service"], []byte(service))
	})
}

func clockTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// text formats the fields as key=value pairs, sorted by key.
func text(fields map[string]json.RawMessage) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%s", key, fields[key])
	}
	return b.String()
}
