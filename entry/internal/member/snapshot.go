package member

import "guavaspring.org/entry/internal/digest"

// rebuild publishes the snapshot, computes the digest and selects the neighbours; it must be called with l.mu held.
func (l *List) rebuild() {
	l.stale = false
	list, keys := l.publish()
	l.entries, l.digestTotal = digestEntries(list, keys)
	l.neighbourIDs = neighbours(l.self, list, keys)
}

// publish replaces the snapshot and returns it with the key of each host; it must be called with l.mu held.
func (l *List) publish() ([]Host, []uint64) {
	l.loadsStale = false
	list := make([]Host, 0, len(l.sortedRows)+1)
	keys := make([]uint64, 0, len(l.sortedRows)+1)
	self := l.self
	added := false
	for _, r := range l.sortedRows {
		if !added && self.ID < r.ID {
			list, keys, added = append(list, self), append(keys, self.Key()), true
		}
		if r.State != StateDead {
			list, keys = append(list, r.Host), append(keys, r.key)
		}
	}
	if !added {
		list, keys = append(list, self), append(keys, self.Key())
	}
	l.publishedSelf.Store(&self)
	l.snapshot.Store(&list)
	return list, keys
}

// digestEntries returns the digest entries of list and their digest. They leave out the load, which changes all the
// time; list has no dead rows, which each host removes at its own time.
func digestEntries(list []Host, keys []uint64) ([]digest.Entry, uint64) {
	entries := make([]digest.Entry, len(list))
	for i, h := range list {
		entries[i] = digest.Entry{Key: keys[i], Sum: mix(keys[i] ^ mix(h.Epoch*8+uint64(stateRank[h.State])))}
	}
	return entries, digest.Total(entries)
}

// Digest returns the digest of all rows that are not dead.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digestTotal
}

// Sums returns the digest of each child of p.
func (l *List) Sums(p digest.Prefix) []digest.Sum {
	l.mu.Lock()
	defer l.mu.Unlock()
	return digest.Sums(l.entries, p)
}

// Rows returns up to limit rows below p, dead ones included, so that the other host receives a death that it missed.
func (l *List) Rows(p digest.Prefix, limit int) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Host
	if p.Contains(l.self.Key()) {
		list = append(list, l.self)
	}
	for key, r := range l.byKey {
		if len(list) >= limit {
			break
		}
		if p.Contains(key) {
			list = append(list, r.Host)
		}
	}
	return list
}
