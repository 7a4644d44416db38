package explainroute

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/go-logr/logr"

	"guavaspring.org/core/clock"
	"guavaspring.org/core/routeplan"
	"guavaspring.org/entry/internal/events"
)

// Service is the name of the net/rpc service.
const Service = "Explain"

// maxArgBytes bounds each field of the arguments. A path is as long as a client's may be in practice.
const maxArgBytes = 4 << 10

var (
	errBusy     = errors.New("the host is explaining another route; try again")
	errNoHost   = errors.New("the host name of the request is missing")
	errNoPath   = errors.New("the path of the request must begin with a slash")
	errTooLong  = fmt.Errorf("the host name, path, method or customer of the request is longer than %d bytes", maxArgBytes)
	errInternal = errors.New("the host failed to explain the route; its log holds the cause (request_panicked)")
)

// Options configures a Server.
type Options struct {
	Clock clock.Clock
	Log   logr.Logger
	// Plan returns the plan of a request, without an effect on later requests.
	Plan func(args *routeplan.Args) (*routeplan.Plan, error)
}

// Server is the net/rpc service.
//
// It explains one route at a time, which bounds the memory and the processor time that it takes from requests to those
// of one plan.
type Server struct {
	opts Options
	mu   sync.Mutex
}

// New returns a server.
func New(opts Options) *Server { return &Server{opts: opts} }

// Route explains the route of a request. It is an error if the host has no configuration or the configuration has no
// such route or customer.
func (s *Server) Route(args *routeplan.Args, reply *routeplan.Plan) (err error) {
	if err := check(args); err != nil {
		return err
	}
	if !s.mu.TryLock() {
		return errBusy
	}
	defer s.mu.Unlock()
	defer func() {
		// A host must not end because of an operator's question.
		if v := recover(); v != nil {
			events.Panicked.Log(s.opts.Log, "reason", fmt.Sprint(v), "stack", string(debug.Stack()))
			err = errInternal
		}
	}()
	began := s.opts.Clock.Now()
	plan, err := s.opts.Plan(args)
	if err != nil {
		return err
	}
	plan.Cut()
	*reply = *plan
	events.RouteExplained.Log(s.opts.Log, "route", plan.Route.Name, "version", plan.Version, "customer", args.Customer, "took", s.opts.Clock.Now().Sub(began).String())
	return nil
}

func check(args *routeplan.Args) error {
	switch {
	case args.Host == "":
		return errNoHost
	case !strings.HasPrefix(args.Path, "/"):
		return errNoPath
	case max(len(args.Host), len(args.Path), len(args.Method), len(args.Customer)) > maxArgBytes:
		return errTooLong
	}
	return nil
}
