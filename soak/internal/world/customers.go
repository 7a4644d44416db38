package world

import (
	"slices"
	"time"

	"guavaspring.org/platform/platformtest"
)

// Limits of a customer's requests over all hosts: in any QuotaWindow, at most the limit of the window and the burst,
// exceeded by QuotaExcess of that and QuotaSlack.
const (
	QuotaWindow = 5 * time.Second
	QuotaExcess = 0.1
	QuotaSlack  = 20
)

// Customer is a customer in the configuration. Its burst is its limit for one second.
type Customer struct {
	Name, Key string
	PerSecond int
}

// Most returns the largest number of the customer's requests that may run in a window.
func (c Customer) Most() int {
	limit := float64(c.PerSecond) * (QuotaWindow.Seconds() + 1)
	return int(limit*(1+QuotaExcess)) + QuotaSlack
}

// customerRuns records the requests that ran, by the customer that a host named.
type customerRuns struct {
	at map[string][]time.Time
	// keys counts the requests that came with a key, which must not leave the host.
	keys int
}

// record records a request; w.mu must be held.
func (w *World) recordCustomer(seen platformtest.RequestHeader) {
	if len(w.Customers) == 0 {
		return
	}
	if seen.Key != "" {
		w.customers.keys++
	}
	if len(w.runs[seen.ID]) > 0 {
		return
	}
	if w.customers.at == nil {
		w.customers.at = map[string][]time.Time{}
	}
	w.customers.at[seen.Customer] = append(w.customers.at[seen.Customer], time.Now())
}

// MostInWindow returns the largest number of a customer's requests that ran in any window.
func (w *World) MostInWindow(customer string) int {
	w.mu.Lock()
	list := slices.Clone(w.customers.at[customer])
	w.mu.Unlock()
	first, most := 0, 0
	for i, at := range list {
		for at.Sub(list[first]) >= QuotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// KeysSeen returns the number of requests that reached a replica with a key.
func (w *World) KeysSeen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.customers.keys
}

// withCustomers returns a configuration with the customers added, if there are any.
func (w *World) withCustomers(config string) string {
	if len(w.Customers) == 0 {
		return config
	}
	var list []string
	for _, c := range w.Customers {
		list = append(list, platformtest.Customer(c.Name, c.Key, c.PerSecond))
	}
	return platformtest.WithCustomers(config, list...)
}
