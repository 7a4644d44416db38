package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Loads change all the time, so load reports have bounds of their own: each is sent a few times only, and the more
// hosts exchange them, the less often each host sends its own. Without these bounds, loads sent each second in a fleet
// of 5,600 hosts would take 90 KB/s of every host. With minZoneOnlyHosts hosts or more, a report stays inside the zone,
// whose hosts clients are directed to first.
const (
	// maxLoadSends is the number of times that a host sends one load report.
	maxLoadSends = 4
	// loadReportsPerSecond is the number of new load reports that a host receives a second from all others together.
	loadReportsPerSecond = 5
	minZoneOnlyHosts     = 64
	// minLoadChange is the smallest change of load that is sent.
	minLoadChange = 0.02
)

// queueLoad queues this host's load for sending if it changed and loadInterval has passed since the last time; it must
// be called with l.mu held.
func (l *List) queueLoad(now time.Time) {
	if math.Abs(l.load-l.sentLoad) < minLoadChange || now.Sub(l.loadSentAt) < l.loadInterval() {
		return
	}
	l.sentLoad, l.loadSentAt = l.load, now
	l.self.Load = l.load
	l.self.LoadSeq++
	l.queuedLoads[l.self.Key()] = 0
	l.loadsStale = true
}

// loadInterval returns the minimum interval between two load reports of this host.
func (l *List) loadInterval() time.Duration {
	n := 0
	for _, r := range l.rows {
		if r.State != StateDead && l.sharesLoad(r.Host) {
			n++
		}
	}
	return max(time.Second, time.Duration(n)*time.Second/loadReportsPerSecond)
}

// sharesLoad reports whether load reports of h are passed on.
func (l *List) sharesLoad(h Host) bool {
	return len(l.rows) < minZoneOnlyHosts || h.Zone == l.self.Zone && h.Region == l.self.Region
}

func (l *List) mergeLoad(m Load) {
	r := l.byKey[m.Key]
	if r == nil || m.Seq <= r.LoadSeq || m.Percent > 100 {
		return
	}
	r.Load, r.LoadSeq = float64(m.Percent)/100, m.Seq
	l.loadsStale = true
	if l.sharesLoad(r.Host) {
		l.queuedLoads[m.Key] = 0
	}
}

// takeLoads returns the queued load reports that were sent least often.
func (l *List) takeLoads() []Load {
	if len(l.queuedLoads) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(l.queuedLoads))
	for key := range l.queuedLoads {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.queuedLoads[a], l.queuedLoads[b]), cmp.Compare(a, b))
	})
	var out []Load
	for _, key := range keys[:min(maxLoadsPerMessage, len(keys))] {
		if h, ok := l.hostByKey(key); ok {
			out = append(out, Load{Key: key, Seq: h.LoadSeq, Percent: uint8(math.Round(h.Load * 100))})
		}
		l.queuedLoads[key]++
		if l.queuedLoads[key] >= maxLoadSends {
			delete(l.queuedLoads, key)
		}
	}
	return out
}

func (l *List) hostByKey(key uint64) (Host, bool) {
	if key == l.self.Key() {
		return l.self, true
	}
	r := l.byKey[key]
	if r == nil {
		return Host{}, false
	}
	return r.Host, true
}
