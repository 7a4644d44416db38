package member

import "guavaspring.org/entry/internal/digest"

// rebuild must be called with l.mu held; it publishes the snapshot and chooses the neighbours anew.
func (l *List) rebuild() {
	l.stale = false
	list, keys := l.publish()
	l.entries, l.total = entriesOf(list, keys)
	l.around = neighbours(l.self, list, keys)
}

// publish must be called with l.mu held; it returns the snapshot and the key of each host.
func (l *List) publish() ([]Host, []uint64) {
	l.staleLoad = false
	list := make([]Host, 0, len(l.order)+1)
	keys := make([]uint64, 0, len(l.order)+1)
	self := l.self
	told := false
	for _, r := range l.order {
		if !told && self.ID < r.ID {
			list, keys, told = append(list, self), append(keys, self.Key()), true
		}
		if r.State != StateDead {
			list, keys = append(list, r.Host), append(keys, r.key)
		}
	}
	if !told {
		list, keys = append(list, self), append(keys, self.Key())
	}
	l.own.Store(&self)
	l.snapshot.Store(&list)
	return list, keys
}

// entriesOf leaves out load, which changes all the time, and dead rows, which each host drops at its own time.
func entriesOf(list []Host, keys []uint64) ([]digest.Entry, uint64) {
	entries := make([]digest.Entry, len(list))
	for i, h := range list {
		entries[i] = digest.Entry{Key: keys[i], Sum: mix(keys[i] ^ mix(h.Epoch*8+uint64(stateRank[h.State])))}
	}
	return entries, digest.Total(entries)
}

// Digest returns the sum over all rows that are not dead.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Sums returns the digest of each child of p.
func (l *List) Sums(p digest.Prefix) []digest.Sum {
	l.mu.Lock()
	defer l.mu.Unlock()
	return digest.Sums(l.entries, p)
}

// Rows returns up to most rows below p, dead ones included, so that the other side learns of a death it missed.
func (l *List) Rows(p digest.Prefix, most int) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Host
	if p.Holds(l.self.Key()) {
		list = append(list, l.self)
	}
	for key, r := range l.byKey {
		if len(list) >= most {
			break
		}
		if p.Holds(key) {
			list = append(list, r.Host)
		}
	}
	return list
}
