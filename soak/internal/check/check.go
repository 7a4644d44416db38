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
	"guavaspring.org/soak/internal/world"
)

const (
	// calm is how long a host has to be without faults before its time bounds are checked.
	calm = 4 * time.Second
	// apply is the time within which a configuration must be in force; slack is added to every bound for a busy machine.
	apply = 3 * time.Second
	slack = time.Second
	// rollback is how long after a response of one version the same host may still send responses of an older one.
	rollback = 250 * time.Millisecond
	// pageRecords is the maximum number of records in the response to a query.
	pageRecords = 3
)

// Check collects the findings, which are violations of guarantees.
type Check struct {
	world *world.World

	mu       sync.Mutex
	findings []string
	counts   map[string]int
	writes   []client.Seen
	// newest is the newest version seen at each incarnation of a host, and the time of its first response.
	newest map[string]mark
}

type mark struct {
	version int
	at      time.Time
}

// New returns a Check without findings.
func New(w *world.World) *Check {
	return &Check{world: w, counts: map[string]int{}, newest: map[string]mark{}}
}

// Take checks one attempt.
func (c *Check) Take(s client.Seen) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome(&s)]++
	if s.Write {
		c.writes = append(c.writes, s)
	}
	c.inTime(&s)
	if s.Err == nil && s.Status == http.StatusOK && s.Write {
		c.ownWrite(&s)
	}
	if s.Err == nil && s.Status == http.StatusOK && !s.Write {
		c.page(&s)
	}
}

func outcome(s *client.Seen) string {
	if s.Err != nil {
		return "broken"
	}
	return strconv.Itoa(s.Status)
}

func (c *Check) find(s *client.Seen, format string, args ...any) {
	c.findings = append(c.findings, fmt.Sprintf("%s at %s#%d, sent %s: ", s.ID, s.Host.Name(), s.Incarnation, s.Sent.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// undisturbed reports whether the host had no faults for the duration before and was not restarted during the attempt.
func (c *Check) undisturbed(s *client.Seen, before time.Duration) bool {
	_, disturbed := s.Host.State()
	return s.Incarnation == s.Again && s.Sent.Sub(disturbed) > before
}

func (c *Check) inTime(s *client.Seen) {
	if took := s.Done.Sub(s.Sent); took > client.Patience+slack && c.undisturbed(s, calm) {
		c.find(s, "no final answer in time: %v, %v", took.Round(time.Millisecond), s.Err)
	}
}

func (c *Check) ownWrite(s *client.Seen) {
	if !bytes.Equal(s.Body, world.Part(s.ID, "desk")) {
		c.find(s, "the answer is another request's")
	}
}

// page checks the response to a query over shards: its parts must belong to the request and to one version, and its
// records must be the greatest of these parts.
func (c *Check) page(s *client.Seen) {
	parts := map[string]bool{}
	var records []string
	for _, stamp := range strings.Split(s.Stamps, ", ") {
		id, service, _ := strings.Cut(stamp, ".")
		if id != s.ID || parts[service] {
			c.find(s, "stamp %q is another request's or comes twice", stamp)
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
		c.find(s, "the records are not the greatest of the parts named")
	}
	missing, err := strconv.Atoi(s.Missed)
	if err != nil {
		c.find(s, "missing parts: %v", err)
		return
	}
	oldest, newest := c.versions(parts, missing)
	if newest == 0 {
		c.find(s, "parts %v with %d missing are of no version", parts, missing)
		return
	}
	c.fresh(s, oldest, newest)
}

// versions returns the oldest and the newest version whose shards match the parts and the number of missing ones, zero
// if there is none. The two differ if the shard that is unique to a version is among the missing.
func (c *Check) versions(parts map[string]bool, missing int) (oldest, newest int) {
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

// fresh checks that the version of a response is not outdated. For a response that matches several versions, it checks
// the newest and records the oldest, so that ambiguous responses cause no false finding.
func (c *Check) fresh(s *client.Seen, oldest, newest int) {
	key := fmt.Sprintf("%s#%d", s.Host.Name(), s.Incarnation)
	if m := c.newest[key]; newest < m.version && s.Sent.After(m.at.Add(rollback)) && s.Incarnation == s.Again {
		c.find(s, "version %d after version %d was seen there", newest, m.version)
	}
	if s.Incarnation == s.Again && oldest > c.newest[key].version {
		c.newest[key] = mark{oldest, s.Done}
	}
	if now, since := c.world.Config(); newest < now && s.Sent.Sub(since) > apply+slack && c.undisturbed(s, calm+apply+slack) {
		c.find(s, "version %d, though %d is acknowledged for %v", newest, now, s.Sent.Sub(since).Round(time.Millisecond))
	}
}

// Drained checks that a replica received no request later than bound after it announced its drain, without faults.
func (c *Check) Drained(r *world.Replica, bound time.Duration) {
	if _, late := r.Left(); late > bound+slack/2 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.findings = append(c.findings, fmt.Sprintf("replica %s got a request %v after it announced to leave", r.ID, late))
	}
}

// Finish checks the writes, which is possible only at the end, and returns all findings and the count of each outcome.
func (c *Check) Finish() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.writes {
		s := &c.writes[i]
		runs := c.world.Runs(s.ID)
		switch {
		case runs > 1:
			c.find(s, "a write ran %d times", runs)
		case runs > 0 && s.Err == nil && promisesNotRun(s.Status):
			c.find(s, "a write was answered %d and ran", s.Status)
		case runs == 0 && s.Status == http.StatusOK:
			c.find(s, "a write was answered 200 and did not run")
		}
	}
	return c.findings, c.counts
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
