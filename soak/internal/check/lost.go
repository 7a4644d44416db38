package check

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"guavaspring.org/soak/internal/client"
	"guavaspring.org/soak/internal/hosts"
)

// minServed is how long a host serves after the signal to stop.
const minServed = 4 * time.Second

// Stops collects what planned stops of hosts do to requests.
type Stops struct {
	Hosts []*hosts.Host
	Grace time.Duration

	cuts    []client.Attempt
	changes []time.Time
	sent    int
	inStops int
}

// Changed records that a configuration was acknowledged.
func (c *Checker) Changed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stops == nil {
		return
	}
	c.stops.changes = append(c.stops.changes, at)
}

// CheckStops has the checker look for requests lost in planned stops of hosts.
func (c *Checker) CheckStops(list []*hosts.Host, grace time.Duration) {
	c.stops = &Stops{Hosts: list, Grace: grace}
}

// recordStop keeps an attempt whose connection ended without a complete answer; c.mu must be held.
func (c *Checker) recordStop(a *client.Attempt) {
	if c.stops == nil || a.Written.IsZero() {
		return
	}
	c.stops.sent++
	if term := process(a).First(syscall.SIGTERM); !term.IsZero() && a.Done.After(term) {
		c.stops.inStops++
	}
	var ne net.Error
	if a.Err == nil || errors.As(a.Err, &ne) && ne.Timeout() {
		return
	}
	c.stops.cuts = append(c.stops.cuts, *a)
}

// process returns the process of a host that an attempt was sent to.
func process(a *client.Attempt) *hosts.Process {
	list := a.Host.Processes()
	i := slices.IndexFunc(list, func(p hosts.Process) bool { return p.Incarnation == a.Incarnation })
	if i < 0 {
		return &hosts.Process{}
	}
	return &list[i]
}

// finishStops checks the requests whose connection ended without a complete answer, and the ends of all processes; c.mu must be
// held.
func (c *Checker) finishStops() []string {
	if c.stops == nil {
		return nil
	}
	reasons := map[string]int{}
	for i := range c.stops.cuts {
		a := &c.stops.cuts[i]
		p := process(a)
		work, verdict := Cut{Attempt: a, Process: p, Runs: c.world.RunsOf(a.ID), Changes: c.stops.changes, Grace: c.stops.Grace}.Judge()
		if verdict == Lost {
			c.findings = append(c.findings, c.describe(a, p, work))
		}
		reasons[fmt.Sprintf("%s, %s", work, verdict)]++
	}
	lines := []string{fmt.Sprintf("%d requests sent, %d of them ended on a stopping host; %d without a complete answer: %v", c.stops.sent, c.stops.inStops, len(c.stops.cuts), reasons)}
	return append(lines, c.checkProcesses()...)
}

// describe returns a finding with what is known about the request.
func (c *Checker) describe(a *client.Attempt, p *hosts.Process, work Work) string {
	var b strings.Builder
	term := p.First(syscall.SIGTERM)
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		if term.IsZero() {
			return t.Format("15:04:05.000")
		}
		return t.Sub(term).Round(time.Millisecond).String()
	}
	fmt.Fprintf(&b, "lost around %s: %s at %s#%d on route %s, client %s, kept %v: %v, status %d; sent %s, last byte %s, ended %s after SIGTERM (started %s, process ended %s)",
		work, a.ID, a.Host.Name(), a.Incarnation, a.Kind.Route, a.Habit, a.Kept, a.Err, a.Status, since(a.Sent), since(a.Written), since(a.Done), since(p.Started), since(p.Exited))
	for _, r := range c.world.RunsOf(a.ID) {
		fmt.Fprintf(&b, "\n    run at %s: began %s, %s %s", r.Replica, since(r.Began), r.Ending, since(r.Ended))
	}
	for _, line := range c.logLines(a.Host, `"`+a.ID+`"`) {
		b.WriteString("\n    log: " + line)
	}
	return b.String()
}

// logLines returns the lines of a host's log with a text.
func (c *Checker) logLines(h *hosts.Host, text string) []string {
	all, err := h.Log()
	if err != nil {
		return []string{err.Error()}
	}
	return slices.DeleteFunc(all, func(line string) bool { return !strings.Contains(line, text) })
}

// stopLines returns the lines that a host logged about one stop.
func (c *Checker) stopLines(h *hosts.Host, from, until time.Time) string {
	var b strings.Builder
	for _, event := range []string{`"host_port_closed"`, `"host_stopped"`} {
		for _, line := range c.linesBetween(h, event, from, until) {
			b.WriteString("\n    log: " + line)
		}
	}
	return b.String()
}

// hasStarted reports whether a process has logged that it starts to serve. A signal that comes before that may end it.
func (c *Checker) hasStarted(h *hosts.Host, p *hosts.Process) bool {
	return len(c.linesBetween(h, `"host_started"`, p.Started, p.Exited)) > 0
}

// linesBetween returns the lines of a host's log with a text that were written between two times.
func (c *Checker) linesBetween(h *hosts.Host, text string, from, until time.Time) []string {
	return slices.DeleteFunc(c.logLines(h, text), func(line string) bool {
		at := logTime(line)
		return at.Before(from) || at.After(until)
	})
}

// checkProcesses checks how processes ended and returns a line for each stop that lasted until SIGKILL.
func (c *Checker) checkProcesses() []string {
	var lines []string
	stops, killed, latest := 0, 0, time.Duration(0)
	for _, h := range c.stops.Hosts {
		for _, p := range h.Processes() {
			term, kill := p.First(syscall.SIGTERM), p.First(syscall.SIGKILL)
			name := fmt.Sprintf("%s#%d, started %s,", h.Name(), p.Incarnation, p.Started.Format("15:04:05.000"))
			if !term.IsZero() {
				stops++
				latest = max(latest, c.handledAfter(h, &p))
			}
			switch {
			case p.Exited.IsZero():
			case !kill.IsZero():
				if !term.IsZero() {
					killed++
					lines = append(lines, fmt.Sprintf("%s lasted until SIGKILL, SIGTERM at %s%s", name, term.Format("15:04:05.000"), c.stopLines(h, term, p.Exited)))
				}
			case !c.hasStarted(h, &p):
				lines = append(lines, fmt.Sprintf("%s ended %v after its start, before it served: %v, signals %v", name, p.Exited.Sub(p.Started).Round(time.Millisecond), p.Err, p.Signals))
			case term.IsZero():
				c.findings = append(c.findings, fmt.Sprintf("%s ended by itself after %v: %v, signals %v", name, p.Exited.Sub(p.Started), p.Err, p.Signals))
			case p.Err != nil:
				c.findings = append(c.findings, fmt.Sprintf("%s ended %v after SIGTERM, sent %v after the start: %v", name, p.Exited.Sub(term), term.Sub(p.Started), p.Err))
			case p.Exited.Sub(term) < minServed:
				c.findings = append(c.findings, fmt.Sprintf("%s ended too soon, %v after SIGTERM, sent %v after the start", name, p.Exited.Sub(term), term.Sub(p.Started)))
			}
		}
	}
	return append(lines, fmt.Sprintf("%d stops, %d of them until SIGKILL; SIGTERM was handled after %v at most", stops, killed, latest.Round(time.Millisecond)))
}

// handledAfter returns the time from the first SIGTERM of a process to its line about it, zero if there is none.
func (c *Checker) handledAfter(h *hosts.Host, p *hosts.Process) time.Duration {
	term := p.First(syscall.SIGTERM)
	until := term.Add(c.stops.Grace)
	if !p.Exited.IsZero() && p.Exited.Before(until) {
		until = p.Exited
	}
	lines := c.linesBetween(h, `"host_stopping"`, term, until)
	if len(lines) == 0 {
		return 0
	}
	return logTime(lines[0]).Sub(term)
}

// logTime returns the time of a log line, zero if it has none.
func logTime(line string) time.Time {
	var l struct{ TS time.Time }
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return time.Time{}
	}
	return l.TS
}
