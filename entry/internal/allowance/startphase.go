package allowance

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/bucket"
	"guavaspring.org/entry/internal/member"
)

const (
	// startPeriod is how long after a mass start the customers' tokens are held by the hosts that were listed before it.
	// Hosts that start together have discovered each other within 2 s. The period starts again with each host that starts
	// later, up to maxStartPeriod.
	startPeriod, maxStartPeriod = 2500 * time.Millisecond, 6 * time.Second
	// joinTimeout is the timeout of an announcement to a listed host.
	joinTimeout = 100 * time.Millisecond
	// searchAfter is the time after which a host that holds tokens looks for the listed hosts that have not announced
	// themselves. Processes that start together have done so by then.
	searchAfter = 300 * time.Millisecond
)

// StartState is the state of a host with regard to a mass start.
type StartState string

// The states of hosts.
const (
	// StartPending means that the host has just started and knows no listed hosts yet.
	StartPending StartState = "pending"
	// StartActive means that the host has just started and holds tokens for the customers that it ranks first for.
	StartActive StartState = "starting"
	// StartOver means that the host serves by the member list.
	StartOver StartState = "running"
)

// StartEndReason is the reason why a host's start phase ended.
type StartEndReason string

// The reasons for the end of the start phase.
const (
	// StartTimeOver means that the time of the phase was over on this host or on another one.
	StartTimeOver StartEndReason = "time_over"
	// StartHostRunning means that a listed host was already running.
	StartHostRunning StartEndReason = "host_running"
)

// StartEnd is the state of a host at the end of its start phase.
type StartEnd struct {
	Reason StartEndReason
	// From is where the number of shares came from.
	From PartsSource
	// Parts is the number of shares known at the start and Listed the number of listed hosts, of which Reached answered
	// and Gone are those at whose addresses no process listened.
	Parts, Listed, Reached, Gone int
}

// JoinArgs announces a started host to a listed one, which may use its share from then on.
type JoinArgs struct {
	// From is the ID of the announcing host, and Addr its address.
	From string
	Addr netip.AddrPort
	// Serves reports that it has a share of the limits.
	Serves bool
	// Unreached lists the listed hosts that have not answered it. Its share of a customer's limit belongs to the listed
	// host that ranks first for the customer among the others.
	Unreached []netip.AddrPort
	// Done ends the start phase: from now on the member list decides.
	Done bool
}

// JoinReply is the reply of a listed host.
type JoinReply struct {
	State StartState
	// Absent is set by the caller's side where the machine refuses the connection, so that no process listens there.
	Absent bool
}

// startPhase is a host's view of a mass start, in which a customer's tokens are held by listed hosts.
//
// The hosts that served before are listed in the store or known to a running host. All hosts that start rank these
// addresses alike, so that they agree on who holds a customer's tokens before they have discovered each other. Each
// announces itself to the listed hosts, and its share belongs to the first one that it reaches.
type startPhase struct {
	// firstUpdate is the time of the first update, beganAt that of the first one with listed hosts, and over reports that
	// the phase has ended or was skipped.
	firstUpdate, beganAt time.Time
	over                 bool
	// lastJoin is when the last host announced itself here, or beganAt.
	lastJoin time.Time
	// parts is the number of shares known at the start, and partsFrom where it came from; selfAddr is this host's address,
	// and selfServes reports that it has a share.
	parts      int
	partsFrom  PartsSource
	selfAddr   netip.AddrPort
	selfServes bool
	// listed are the listed hosts, with their addresses in place of their IDs, and keepers are those that hold tokens.
	listed, keepers []member.Host
	// reached holds the other keepers that answer. version changes with it, and announced holds the version
	// last sent to each keeper.
	reached   map[netip.AddrPort]bool
	version   int
	announced map[netip.AddrPort]int
	// absent holds the listed hosts whose machine refuses connections, so that no process runs there, and absentElsewhere
	// is their number according to the last host that granted tokens.
	absent          map[netip.AddrPort]bool
	absentElsewhere int
	// joined holds the hosts that announced themselves here, by ID, and ranked caches the ranking of each customer.
	joined map[string]JoinArgs
	ranked map[string][]member.Host
	// fractions caches the fraction of each customer's limit that belongs to this host. It is emptied when the state of a
	// host changes.
	fractions map[string]float64
	// doneSent reports that the other keepers were notified of the end.
	doneSent bool
}

// update applies a view and reports whether the phase has just ended.
func (s *startPhase) update(now time.Time, v View) bool {
	if s.firstUpdate.IsZero() {
		s.firstUpdate = now
	}
	switch {
	case s.over:
		return false
	case s.began():
		// The keepers, which all started hosts announce themselves to, decide when the phase ends and notify the others.
		return now.Sub(s.beganAt) >= maxStartPeriod || s.isKeeper(s.selfAddr) && now.Sub(s.lastJoin) >= startPeriod
	case now.Sub(s.firstUpdate) >= startPeriod:
		return true
	case len(v.Listed) > 0 && v.Parts > 0:
		s.begin(now, v)
	}
	return false
}

func (s *startPhase) begin(now time.Time, v View) {
	i := slices.IndexFunc(v.Hosts, func(h member.Host) bool { return h.ID == v.Self })
	if i < 0 {
		return
	}
	s.beganAt, s.lastJoin, s.parts, s.selfAddr = now, now, v.Parts, v.Hosts[i].Peer
	s.partsFrom = v.PartsFrom
	s.listed = make([]member.Host, len(v.Listed))
	for i, addr := range v.Listed {
		s.listed[i] = member.Host{ID: addr.String(), Peer: addr, State: member.StateAlive}
	}
	s.keepers = member.Ranked(s.listed, keeperRankKey)
	s.keepers = s.keepers[:min(maxKeepers, len(s.keepers))]
	// Until the others are discovered, the member list doesn't show whether a host is strong enough to serve.
	s.selfServes = slices.Contains(v.Listed, s.selfAddr) || len(v.Listed) < v.Parts && slices.ContainsFunc(v.Serving, func(h member.Host) bool { return h.ID == v.Self })
	s.reached, s.absent, s.announced = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}, map[netip.AddrPort]int{}
	s.joined, s.ranked, s.fractions, s.version = map[string]JoinArgs{}, map[string][]member.Host{}, map[string]float64{}, 1
	if s.selfServes {
		return
	}
	// A host without a share has nothing to announce and asks right away.
	for _, h := range s.keepers {
		s.reached[h.Peer] = true
		s.announced[h.Peer] = s.version
	}
}

// began reports whether this host has known listed hosts.
func (s *startPhase) began() bool { return !s.beganAt.IsZero() }

// active reports whether the listed hosts hold the tokens.
func (s *startPhase) active() bool { return s.began() && !s.over }

// state returns the state that is reported to other hosts.
func (s *startPhase) state() StartState {
	switch {
	case s.active():
		return StartActive
	case s.over:
		return StartOver
	}
	return StartPending
}

// rankingFor returns the keepers in their order for a customer.
func (s *startPhase) rankingFor(customer string) []member.Host {
	list, ok := s.ranked[customer]
	if !ok {
		list = member.Ranked(s.keepers, customer)
		s.ranked[customer] = list
	}
	return list
}

// first returns the customer's first keeper that this host reaches, which may be itself; its ID is empty if none is.
func (s *startPhase) first(customer string) member.Host {
	for _, h := range s.rankingFor(customer) {
		if h.Peer == s.selfAddr || s.reached[h.Peer] {
			return h
		}
	}
	return member.Host{}
}

// holdsShareOf reports whether the share of a host that announced itself belongs to this one.
func (s *startPhase) holdsShareOf(customer string, j *JoinArgs) bool {
	for _, h := range s.rankingFor(customer) {
		if !slices.Contains(j.Unreached, h.Peer) {
			return h.Peer == s.selfAddr
		}
	}
	return false
}

// fraction returns the fraction of the customer's limit whose shares belong to this host.
func (s *startPhase) fraction(customer string) float64 {
	f, ok := s.fractions[customer]
	if !ok {
		f = s.computeFraction(customer)
		s.fractions[customer] = f
	}
	return f
}

func (s *startPhase) computeFraction(customer string) float64 {
	shares, all := 0, 0
	if s.selfServes {
		all++
		if s.first(customer).Peer == s.selfAddr {
			shares++
		}
	}
	for _, j := range s.joined {
		if !j.Serves {
			continue
		}
		all++
		if s.holdsShareOf(customer, &j) {
			shares++
		}
	}
	return float64(shares) / float64(max(1, s.partsLeft(), all))
}

// partsLeft returns the number of parts known at the start without the hosts that are gone. A host that reaches no
// other counts none as gone, as it may be cut off.
func (s *startPhase) partsLeft() int {
	if len(s.reached) == 0 && len(s.joined) == 0 {
		return s.parts
	}
	return max(1, s.parts-max(len(s.absent), s.absentElsewhere))
}

// end returns the state at the end of the phase.
func (s *startPhase) end(reason StartEndReason) StartEnd {
	return StartEnd{Reason: reason, From: s.partsFrom, Parts: s.parts, Listed: len(s.listed), Reached: len(s.reached), Gone: len(s.absent)}
}

// setReached records whether a keeper answered.
func (s *startPhase) setReached(addr netip.AddrPort, reached bool) {
	if s.reached[addr] == reached {
		return
	}
	s.version++
	clear(s.fractions)
	if reached {
		s.reached[addr] = true
		return
	}
	delete(s.reached, addr)
}

// joinArgs returns the announcement of this host.
func (s *startPhase) joinArgs(self string) JoinArgs {
	args := JoinArgs{From: self, Addr: s.selfAddr, Serves: s.selfServes, Done: s.over}
	for _, h := range s.keepers {
		if h.Peer != s.selfAddr && !s.reached[h.Peer] {
			args.Unreached = append(args.Unreached, h.Peer)
		}
	}
	return args
}

// due returns the hosts to announce this one to: the keepers that don't know its state, and the listed hosts that have
// not announced themselves to this one, if it is a keeper.
func (s *startPhase) due(now time.Time) []member.Host {
	var list []member.Host
	if s.over && !s.isKeeper(s.selfAddr) {
		return nil
	}
	for _, h := range s.keepers {
		if h.Peer != s.selfAddr && (!s.reached[h.Peer] || s.announced[h.Peer] != s.version || s.over) {
			list = append(list, h)
		}
	}
	if s.over || now.Sub(s.beganAt) < searchAfter || !s.isKeeper(s.selfAddr) {
		return list
	}
	return append(list, s.unannounced()...)
}

// unannounced returns the listed hosts that are no keepers and have not announced themselves, except those that are gone.
func (s *startPhase) unannounced() []member.Host {
	known := map[netip.AddrPort]bool{s.selfAddr: true}
	for _, j := range s.joined {
		known[j.Addr] = true
	}
	var list []member.Host
	for _, h := range s.listed {
		if !known[h.Peer] && !s.absent[h.Peer] && !s.isKeeper(h.Peer) {
			list = append(list, h)
		}
	}
	return list
}

func (s *startPhase) isKeeper(addr netip.AddrPort) bool {
	return slices.ContainsFunc(s.keepers, func(h member.Host) bool { return h.Peer == addr })
}

// Announce announces this host to the listed hosts after a mass start, and notifies them when the start phase is over.
// It reports whether it has to be called again.
func (l *Limiter) Announce(ctx context.Context) bool {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	l.update(now, v)
	s := &l.start
	if !s.began() || s.doneSent {
		over := s.over
		l.mu.Unlock()
		return !over
	}
	targets, args := s.due(now), s.joinArgs(v.Self)
	s.doneSent = s.over
	version := s.version
	l.mu.Unlock()
	var calls sync.WaitGroup
	for _, h := range targets {
		calls.Go(func() { l.announceTo(ctx, h, args, version) })
	}
	calls.Wait()
	return !args.Done
}

func (l *Limiter) announceTo(ctx context.Context, h member.Host, args JoinArgs, version int) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	rep, err := l.opts.Join(ctx, h, args)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.start
	if !s.active() {
		return
	}
	delete(s.absent, h.Peer)
	clear(s.fractions)
	switch {
	case err != nil:
		s.setReached(h.Peer, false)
		if rep.Absent {
			s.absent[h.Peer] = true
		}
	case rep.State == StartOver:
		l.skipStart()
	default:
		s.setReached(h.Peer, rep.State == StartActive && s.isKeeper(h.Peer))
		s.announced[h.Peer] = version
	}
}

// Join records the announcement of a host that has started.
func (l *Limiter) Join(args *JoinArgs, rep *JoinReply) error {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	if args.Done && l.start.active() {
		l.leaveStart(now)
	}
	if l.start.active() {
		if _, known := l.start.joined[args.From]; !known {
			l.start.lastJoin = now
		}
		l.start.joined[args.From] = *args
		clear(l.start.fractions)
	}
	rep.State = l.start.state()
	return nil
}

// leaveStart ends the start phase because another host serves by the member list. If this host has been in the phase for
// long enough to have discovered the others, the phase is over; otherwise this is no mass start, or this host is late.
func (l *Limiter) leaveStart(now time.Time) {
	if now.Sub(l.start.beganAt) >= provenAfter {
		l.endStart(now)
		// That host notifies the others.
		l.start.doneSent = true
		return
	}
	l.skipStart()
}

// skipStart ends the start phase of a host that starts while others run, which goes by the member list once it is settled.
func (l *Limiter) skipStart() {
	l.start.over, l.start.doneSent = true, true
	l.opts.StartEnded(l.start.end(StartHostRunning))
}

// endStart ends the start phase: from now on the member list decides who holds a customer's tokens.
func (l *Limiter) endStart(now time.Time) {
	l.start.over = true
	if !l.start.began() {
		return
	}
	l.opts.StartEnded(l.start.end(StartTimeOver))
	l.fleet.endStart(now)
	for name, a := range l.accounts {
		if !a.keeperSince.IsZero() {
			a.keeperSince = l.fleet.keepersSince
		}
		if l.fleet.isKeeper(name) {
			a.setKeeper(l.fleet.keepersSince, true)
		}
	}
}

// Shares returns the number of shares that limits are divided into and the known hosts that have one, or zero if this
// host has just started.
func (l *Limiter) Shares() (int, []member.Host) {
	now, v := l.opts.Clock.Now(), l.opts.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, v)
	if !l.start.over || l.fleet.unsettled {
		return 0, nil
	}
	return l.fleet.knownShares(), l.fleet.sharers(v)
}

// decideInStart decides during the start phase. It returns false if no listed host holds the customer's tokens.
func (l *Limiter) decideInStart(now time.Time, v View, req *Request, a *account) (Decision, *tokenRequest, bool) {
	first := l.start.first(req.Customer.Name)
	switch {
	case first.ID == "":
		return Decision{}, nil, false
	case first.Peer == l.start.selfAddr:
		return decideFromBucket(now, l.updateStartPool(now, req.Customer, a), req.Again, SourceLocalKeeper), nil, true
	case !req.Again && a.takePrefetched(now):
		return Decision{Admitted: true, Source: SourcePrefetched}, nil, true
	case now.Before(a.refusedUntil):
		a.refused++
		return Decision{Source: SourceRefused, RetryAfter: a.retryAt.Sub(now)}, nil, true
	}
	q := l.newTokenRequest(now, v, req, a, first)
	q.args.Start, q.args.Parts, q.args.Free = true, 0, 0
	return Decision{}, q, true
}

// updateStartPool updates the pool that this host holds for a customer during the start phase.
func (l *Limiter) updateStartPool(now time.Time, c *route.Customer, a *account) *bucket.Bucket {
	c = l.withExcess(c)
	fraction := l.start.fraction(c.Name)
	spare := spareFraction * float64(l.opts.Slack)
	if a.startPool == nil {
		a.startPool = bucket.New(now, 0, 0, 0)
	}
	a.startPool.Set(now, c.PerSecond*fraction, c.Burst*fraction+spare)
	// The first tokens come with the shares, so that all hosts together get them once.
	if more := spare*fraction - a.startAdvance; more > 0 {
		a.startPool.Add(more)
		a.startAdvance += more
	}
	return a.startPool
}

// handleStartReply decides by the reply of a listed host during the start phase. It returns false if that host failed,
// doesn't decide, or is no longer in the phase.
func (l *Limiter) handleStartReply(now time.Time, a *account, q *tokenRequest, rep Reply, err error) (Decision, bool) {
	switch {
	case rep.Running:
		l.start.absentElsewhere = rep.Absent
		if l.start.active() {
			l.leaveStart(now)
		}
		if err != nil || rep.Declined != "" {
			return Decision{}, false
		}
		a.giveShare(now, q.host.ID)
	case err != nil, rep.Declined != "":
		if l.start.active() {
			l.start.setReached(q.host.Peer, false)
		}
		return Decision{}, false
	}
	l.start.absentElsewhere = rep.Absent
	return applyGrant(now, a, q, rep), true
}

// lendInStart grants tokens to another host during the start phase, and returns false if it is over.
func (l *Limiter) lendInStart(now time.Time, v View, c *route.Customer, args *Args, rep *Reply) bool {
	rep.Running, rep.Absent = l.start.over, len(l.start.absent)
	if !l.start.active() {
		return false
	}
	v.Settled = true
	if rep.Declined = declineReason(v, c); rep.Declined == "" {
		grant(now, l.updateStartPool(now, c, l.account(c.Name)), args, rep)
	}
	return true
}
