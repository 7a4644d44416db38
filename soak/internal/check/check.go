package check

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"guavaspring.org/soak/internal/client"
	"guavaspring.org/soak/internal/hosts"
	"guavaspring.org/soak/internal/world"
)

const (
	// quietPeriod is how long a host has to be without faults before its time bounds are checked.
	quietPeriod = 4 * time.Second
	// configBound is the time within which a configuration must be in force.
	configBound = 3 * time.Second
	// slack is added to every bound, as the machine may be busy.
	slack = time.Second
	// rollback is how long after a response of one version the same host may still send responses of an older one.
	rollback = 250 * time.Millisecond
	// pageRecords is the maximum number of records in the response to a query.
	pageRecords = 3
)

// Checker collects the findings, which are violations of guarantees.
type Checker struct {
	world *world.World

	mu       sync.Mutex
	findings []string
	counts   map[string]int
	writes   []client.Attempt
	// newest is the newest version seen at each incarnation of a host, and the time of its first response.
	newest    map[string]seenVersion
	customers customerCounts
	// stops is nil unless planned stops are checked.
	stops *Stops
}

type seenVersion struct {
	version int
	at      time.Time
}

// New returns a Checker without findings.
func New(w *world.World) *Checker {
	return &Checker{world: w, counts: map[string]int{}, newest: map[string]seenVersion{}}
}

// Record checks one attempt.
func (c *Checker) Record(s client.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome(&s)]++
	c.recordStop(&s)
	if s.Write {
		c.writes = append(c.writes, s)
	}
	c.checkDeadline(&s)
	c.checkCustomer(&s)
	if s.Err == nil && s.Status == http.StatusOK && !gathered(&s) {
		c.checkSingle(&s)
	}
	if s.Err == nil && s.Status == http.StatusOK && gathered(&s) {
		c.checkPage(&s)
	}
}

func outcome(s *client.Attempt) string {
	if s.Err != nil {
		return "broken"
	}
	return strconv.Itoa(s.Status)
}

func (c *Checker) report(s *client.Attempt, format string, args ...any) {
	c.findings = append(c.findings, fmt.Sprintf("%s at %s#%d, sent %s: ", s.ID, s.Host.Name(), s.Incarnation, s.Sent.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// undisturbed reports whether the host had no faults for the duration before and was not restarted during the attempt.
func (c *Checker) undisturbed(s *client.Attempt, before time.Duration) bool {
	_, disturbed := s.Host.State()
	return s.Incarnation == s.EndIncarnation && s.Sent.Sub(disturbed) > before
}

func (c *Checker) checkDeadline(s *client.Attempt) {
	took := s.Done.Sub(s.Sent)
	if s.Habit == client.ReadsSlowly && !s.Answered.IsZero() {
		// The rest is the client's own time.
		took = s.Answered.Sub(s.Sent)
	}
	if took > patience(s)+slack && c.undisturbed(s, quietPeriod) {
		c.report(s, "no final answer in time: %v, %v", took.Round(time.Millisecond), s.Err)
	}
}

// patience returns the deadline that the client sent.
func patience(s *client.Attempt) time.Duration {
	if s.Kind == nil {
		return client.Patience
	}
	return s.Kind.Patience
}

// gathered reports whether the request is a query over shards.
func gathered(s *client.Attempt) bool {
	return s.Kind == nil && !s.Write || s.Kind != nil && s.Kind.Gathered
}

func (c *Checker) checkSingle(s *client.Attempt) {
	service := "desk"
	if s.Kind != nil && s.Kind.Route != service {
		service = world.LongService
	}
	if !bytes.Equal(s.Body, world.Body(s.ID, service)) {
		c.report(s, "the answer is another request's")
	}
}

// checkPage checks the response to a query over shards: its parts must belong to the request and to one version, and
// its records must be the greatest of these parts.
func (c *Checker) checkPage(s *client.Attempt) {
	parts := map[string]bool{}
	var records []string
	for _, stamp := range strings.Split(s.Stamps, ", ") {
		id, service, _ := strings.Cut(stamp, ".")
		if id != s.ID || parts[service] {
			c.report(s, "stamp %q is another request's or comes twice", stamp)
			return
		}
		parts[service] = true
		for part := world.Part(id, service); len(part) > 0; part = part[world.RecordSize:] {
			records = append(records, string(part[:world.RecordSize]))
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(pageRecords, len(records))], ""); want != string(s.Body) {
		c.report(s, "the records are not the greatest of the parts named")
	}
	missing, err := strconv.Atoi(s.MissingParts)
	if err != nil {
		c.report(s, "missing parts: %v", err)
		return
	}
	oldest, newest := c.matchingVersions(parts, missing)
	if newest == 0 {
		c.report(s, "parts %v with %d missing are of no version", parts, missing)
		return
	}
	c.checkVersion(s, oldest, newest)
}

// matchingVersions returns the oldest and the newest version whose shards match the parts and the number of missing
// ones, zero if there is none. The two differ if the shard that is unique to a version is among the missing.
func (c *Checker) matchingVersions(parts map[string]bool, missing int) (oldest, newest int) {
	for v, shards := range c.world.Shards() {
		in := 0
		for _, s := range shards {
			if parts[s] {
				in++
			}
		}
		if in == len(parts) && len(shards) == in+missing {
			newest = max(newest, v)
			if oldest == 0 || v < oldest {
				oldest = v
			}
		}
	}
	return oldest, newest
}

// checkVersion checks that the version of a response is not outdated. For a response that matches several versions, it
// checks the newest and records the oldest, so that ambiguous responses cause no false finding.
func (c *Checker) checkVersion(s *client.Attempt, oldest, newest int) {
	key := fmt.Sprintf("%s#%d", s.Host.Name(), s.Incarnation)
	if m := c.newest[key]; newest < m.version && s.Sent.After(m.at.Add(rollback)) && s.Incarnation == s.EndIncarnation {
		c.report(s, "version %d after version %d was seen there", newest, m.version)
	}
	if s.Incarnation == s.EndIncarnation && oldest > c.newest[key].version {
		c.newest[key] = seenVersion{oldest, s.Done}
	}
	if now, since := c.world.Config(); newest < now && s.Sent.Sub(since) > configBound+slack && c.undisturbed(s, quietPeriod+configBound+slack) {
		c.report(s, "version %d, though %d is acknowledged for %v", newest, now, s.Sent.Sub(since).Round(time.Millisecond))
	}
}

// CheckDrained checks that a replica received no request later than bound after it announced its drain, without faults.
func (c *Checker) CheckDrained(r *world.Replica, bound time.Duration) {
	if _, late := r.Drained(); late > bound+slack/2 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.findings = append(c.findings, fmt.Sprintf("replica %s got a request %v after it announced to leave", r.ID, late))
	}
}

// MemoryExceeded records that a host's process was killed because of its memory.
func (c *Checker) MemoryExceeded(host string, resident int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf("%s held %d MB, over its limit of %d MB", host, resident>>20, hosts.MemoryLimit>>20))
}

// Finish checks the writes, which is possible only at the end, and returns all findings and the count of each outcome. Its
// lines describe the planned stops, if they are checked.
func (c *Checker) Finish() (findings []string, counts map[string]int, lines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.writes {
		s := &c.writes[i]
		runs := c.world.Runs(s.ID)
		switch {
		case runs > 1:
			c.report(s, "a write ran %d times", runs)
		case runs > 0 && s.Err == nil && promisesNotRun(s.Status):
			c.report(s, "a write was answered %d and ran", s.Status)
		case runs == 0 && s.Status == http.StatusOK:
			c.report(s, "a write was answered 200 and did not run")
		}
	}
	c.finishCustomers()
	lines = c.finishStops()
	return c.findings, c.counts, lines
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
