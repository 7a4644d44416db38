package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Loads change all the time, so load reports have bounds of their own: each is sent a few times only, and the more
// hosts exchange them, the less often each host sends its own. Without these bounds, loads sent each second in a fleet
// of 5,600 hosts would take 90 KB/s of every host. With wholeFleet hosts or more, a report stays inside the zone, whose
// hosts clients are directed to first.
const (
	// loadSends is the number of times that a host sends one load report.
	loadSends = 4
	// marksPerSecond is the number of new load reports that a host receives a second from all others together.
	marksPerSecond = 5
	wholeFleet     = 64
	// loadStep is the smallest change of load that is sent.
	loadStep = 0.02
)

// tellLoad queues this host's load for sending if it changed and loadEvery has passed since the last time; it must be
// called with l.mu held.
func (l *List) tellLoad(now time.Time) {
	if math.Abs(l.load-l.toldLoad) < loadStep || now.Sub(l.toldAt) < l.loadEvery() {
		return
	}
	l.toldLoad, l.toldAt = l.load, now
	l.self.Load = l.load
	l.self.LoadSeq++
	l.loads[l.self.Key()] = 0
	l.staleLoad = true
}

// loadEvery returns the minimum interval between two load reports of this host.
func (l *List) loadEvery() time.Duration {
	n := 0
	for _, r := range l.rows {
		if r.State != StateDead && l.sharesLoad(r.Host) {
			n++
		}
	}
	return max(time.Second, time.Duration(n)*time.Second/marksPerSecond)
}

// sharesLoad reports whether load reports of h are passed on.
func (l *List) sharesLoad(h Host) bool {
	return len(l.rows) < wholeFleet || h.Zone == l.self.Zone && h.Region == l.self.Region
}

func (l *List) mergeLoad(m Load) {
	r := l.byKey[m.Key]
	if r == nil || m.Seq <= r.LoadSeq || m.Percent > 100 {
		return
	}
	r.Load, r.LoadSeq = float64(m.Percent)/100, m.Seq
	l.staleLoad = true
	if l.sharesLoad(r.Host) {
		l.loads[m.Key] = 0
	}
}

// takeLoads returns the queued load reports that were sent least often.
func (l *List) takeLoads() []Load {
	if len(l.loads) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(l.loads))
	for key := range l.loads {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Or(cmp.Compare(l.loads[a], l.loads[b]), cmp.Compare(a, b)) })
	var out []Load
	for _, key := range keys[:min(maxLoads, len(keys))] {
		if h, ok := l.hostOf(key); ok {
			out = append(out, Load{Key: key, Seq: h.LoadSeq, Percent: uint8(math.Round(h.Load * 100))})
		}
		l.loads[key]++
		if l.loads[key] >= loadSends {
			delete(l.loads, key)
		}
	}
	return out
}

func (l *List) hostOf(key uint64) (Host, bool) {
	if key == l.self.Key() {
		return l.self, true
	}
	r := l.byKey[key]
	if r == nil {
		return Host{}, false
	}
	return r.Host, true
}
