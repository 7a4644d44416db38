package check

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"guavaspring.org/soak/internal/client"
)

const (
	// fullServiceAfter is the time after a mass start from which customers within their limits are served, and maxRefused
	// the share of their requests that may be refused.
	fullServiceAfter, maxRefused = 500 * time.Millisecond, 0.02
)

// customerCounts counts the requests of customers that stay within their limits.
type customerCounts struct {
	// startedAt is the time of the last mass start.
	startedAt     time.Time
	sent, refused int
	// strangers holds the requests without a key, or with an unknown one.
	strangers []client.Attempt
}

// MassStart records that all hosts have just started.
func (c *Checker) MassStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.customers.startedAt = time.Now()
}

// checkCustomer checks one attempt where the configuration names customers; c.mu must be held.
func (c *Checker) checkCustomer(s *client.Attempt) {
	switch {
	case s.Sender == nil:
	case !s.Sender.Customer:
		c.customers.strangers = append(c.customers.strangers, *s)
		// A host that knows no configuration yet answers 503.
		if s.Err == nil && !slices.Contains([]int{http.StatusUnauthorized, http.StatusServiceUnavailable}, s.Status) {
			c.report(s, "a request without a known key was answered %d", s.Status)
		}
	case !s.Sender.Hasty && s.Sent.Sub(c.customers.startedAt) > fullServiceAfter+slack && s.Incarnation == s.EndIncarnation:
		c.customers.sent++
		c.counts["within limits"]++
		if s.Err == nil && (s.Status == http.StatusTooManyRequests || s.Status == http.StatusServiceUnavailable) {
			c.customers.refused++
			c.counts["within limits refused"]++
		}
	}
}

// finishCustomers checks what can be checked only at the end; c.mu must be held.
func (c *Checker) finishCustomers() {
	for i := range c.customers.strangers {
		s := &c.customers.strangers[i]
		if c.world.Runs(s.ID) > 0 {
			c.report(s, "a request without a known key ran")
		}
	}
	for _, customer := range c.world.Customers {
		if most := c.world.MostInWindow(customer.Name); most > customer.Most() {
			c.findings = append(c.findings, fmt.Sprintf("%d requests of customer %s ran in a window, at most %d may", most, customer.Name, customer.Most()))
		}
	}
	if n := c.world.MostInWindow(""); len(c.world.Customers) > 0 && n > 0 {
		c.findings = append(c.findings, fmt.Sprintf("%d requests without a customer ran in a window", n))
	}
	if n := c.world.KeysSeen(); n > 0 {
		c.findings = append(c.findings, fmt.Sprintf("%d requests reached a replica with a key", n))
	}
	if float64(c.customers.refused) > maxRefused*float64(c.customers.sent) {
		c.findings = append(c.findings, fmt.Sprintf("%d of %d requests within the limits were refused", c.customers.refused, c.customers.sent))
	}
}
