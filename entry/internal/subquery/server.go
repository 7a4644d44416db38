package subquery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/upstream"
	"guavaspring.org/entry/internal/attempt"
	"guavaspring.org/entry/internal/endpoints"
	"guavaspring.org/entry/internal/exchange"
	"guavaspring.org/entry/internal/memory"
	"guavaspring.org/entry/internal/pick"
	"guavaspring.org/entry/internal/quarantine"
)

const (
	// idleTimeout is the time after the last call for a subquery until its attempts are canceled: the calling host may
	// be gone. It equals the time for which a host lets its own attempts run on after the response was sent.
	idleTimeout = 300 * time.Millisecond
	// maxWait is the longest wait of a call. Other hosts choose the waits, and a call is held in memory until it ends.
	maxWait = 30 * time.Second
	// maxShards per subquery and maxJobs limit the memory that other hosts can make this one use.
	maxShards = 1024
	maxJobs   = 4096
)

// Options configures a Server.
type Options struct {
	Clock clock.Clock
	// Service returns the service that holds the replicas of a shard.
	Service func(name string) *endpoints.Service
	// Version returns the version of the configuration in force, zero for none.
	Version func() int64
	// Leaving reports whether the host is shutting down.
	Leaving    func() bool
	Quarantine *quarantine.Quarantine
	// Memory limits the memory of the replies; nil means no limit.
	Memory *memory.Budget
	// Draw returns a random number in [0, 1) and must be safe for concurrent use; nil means rand.Float64.
	Draw func() float64
}

// Server is the net/rpc service that runs subqueries for other hosts.
//
// It sends one attempt per shard and never retries. Only the calling host has the whole query: it decides which shards
// are worth a retry and whether the retry budget allows it, and keeps a request within the attempts of its route.
type Server struct {
	opts Options

	mu   sync.Mutex
	jobs map[uint64]*job
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	if opts.Draw == nil {
		opts.Draw = rand.Float64
	}
	return &Server{opts: opts, jobs: map[uint64]*job{}}
}

// Gather sends the attempts and replies once all have ended, or after Args.First.
func (s *Server) Gather(args *Args, reply *Reply) error {
	if reply.Declined = s.declineReason(args); reply.Declined != "" {
		return nil
	}
	j := s.start(args)
	if j == nil {
		reply.Declined = "a subquery of that name is under way, too many are, or no memory is left"
		return nil
	}
	s.collect(args.Job, j, args.First, true, reply)
	return nil
}

// Rest replies with the results since the last reply, as soon as there is one or after RestArgs.Wait.
func (s *Server) Rest(args *RestArgs, reply *Reply) error {
	s.mu.Lock()
	j := s.jobs[args.Job]
	s.mu.Unlock()
	if j == nil {
		reply.Forgotten = true
		return nil
	}
	s.collect(args.Job, j, args.Wait, false, reply)
	return nil
}

// Drop cancels the attempts of a subquery.
func (s *Server) Drop(args *DropArgs, _ *struct{}) error {
	s.end(args.Job)
	return nil
}

// declineReason returns the reason to decline a subquery, or an empty string.
func (s *Server) declineReason(args *Args) string {
	switch {
	case s.opts.Leaving():
		return "the host is leaving"
	case s.opts.Version() != args.Version:
		return "another configuration is in force"
	case len(args.Shards) > maxShards:
		return "too many shards"
	case args.Left <= 0:
		return "the deadline has passed"
	}
	return ""
}

// start registers a subquery and sends its attempts. It returns nil if the subquery's ID is in use, too many subqueries are
// in progress, or no memory is left.
func (s *Server) start(args *Args) *job {
	reserved, err := s.opts.Memory.Reserve(memory.Host)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{ctx: ctx, cancel: cancel, memory: reserved, maxRecords: args.Top, results: make(chan attemptResult, len(args.Shards)), inFlight: map[int]string{}}
	s.mu.Lock()
	if s.jobs[args.Job] != nil || len(s.jobs) >= maxJobs {
		s.mu.Unlock()
		cancel()
		reserved.Release()
		return nil
	}
	s.jobs[args.Job] = j
	s.mu.Unlock()
	now := s.opts.Clock.Now()
	for i := range args.Shards {
		s.sendAttempt(j, args, i, now)
	}
	return j
}

// sendAttempt sends one attempt to the best replica of a shard.
func (s *Server) sendAttempt(j *job, args *Args, i int, now time.Time) {
	svc := s.opts.Service(args.Shards[i])
	c, verdict := svc.Pick(now, endpoints.Need{Need: pick.Need{Usual: args.Usual, Within: args.Within}, Homes: args.Homes}, s.opts.Draw)
	if verdict != endpoints.Found {
		j.unreported = append(j.unreported, attemptResult{shard: i, res: exchange.Result{Kind: upstream.KindNotSent, Detail: "replicas at the other host: " + string(verdict)}})
		return
	}
	id := c.Replica.ID()
	j.inFlight[i] = id
	call := endpoints.Call{Request: &args.Request, Deadline: now.Add(args.Left), Connections: svc.Connections(), Usual: args.Usual, Unloaded: args.Unloaded, ForOther: true, Memory: j.memory}
	go func() {
		res := attempt.Send(j.ctx, s.opts.Quarantine, attempt.Try{Fingerprint: args.Fingerprint, Shard: i, Replica: c.Replica, Call: call})
		j.results <- attemptResult{shard: i, replica: id, res: res}
	}()
}

// collect waits for results, adds them to reply, and ends the subquery once no shard is pending.
func (s *Server) collect(id uint64, j *job, wait time.Duration, merged bool, reply *Reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls++
	calls := j.calls
	j.awaitResults(s.opts.Clock.After(min(wait, maxWait)), !merged)
	j.report(reply, merged)
	if len(reply.Pending) == 0 || j.ctx.Err() != nil {
		s.end(id)
		return
	}
	s.opts.Clock.AfterFunc(idleTimeout, func() { s.endIfIdle(id, j, calls) })
}

// endIfIdle ends a subquery if no call has come since the one with the given number.
func (s *Server) endIfIdle(id uint64, j *job, calls int) {
	if !j.mu.TryLock() {
		// Another call is waiting for results and schedules the next check when it ends.
		return
	}
	last := j.calls == calls
	j.mu.Unlock()
	if last {
		s.end(id)
	}
}

// end cancels a subquery and removes it.
func (s *Server) end(id uint64) {
	s.mu.Lock()
	j := s.jobs[id]
	delete(s.jobs, id)
	s.mu.Unlock()
	if j != nil {
		j.cancel()
		j.memory.Release()
	}
}

// Running returns the number of subqueries in progress.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)
}
