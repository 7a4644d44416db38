package frontmetrics

import "sync"

// names bounds the values of a label: the first mostCustomers names stay, all others become otherCustomers. A
// configuration may have thousands of customers, and each value is a series on every host.
type names struct {
	mu   sync.Mutex
	seen map[string]bool
}

// label returns the label value of a customer.
func (n *names) label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= mostCustomers {
		return otherCustomers
	}
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	n.seen[name] = true
	return name
}
