package frontmetrics

import "sync"

// labelSet bounds the values of a label: the first maxCustomerSeries names stay, all others become otherCustomersLabel.
// A configuration may have thousands of customers, and each value is a series on every host.
type labelSet struct {
	mu   sync.Mutex
	seen map[string]bool
}

// label returns the label value of a customer.
func (n *labelSet) label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= maxCustomerSeries {
		return otherCustomersLabel
	}
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	n.seen[name] = true
	return name
}
