package routequery

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"guavaspring.org/core/routeplan"
)

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.w, printable(fmt.Sprintf(format, args...)))
	}
}

// printable replaces characters that would control the terminal: names come from rows that any replica may write.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

// printPlan prints a plan, path by path and service by service. Unless all is set, the services whose choice is plain
// are summed up in one line per path.
func printPlan(w io.Writer, plan *routeplan.Plan, all bool) error {
	p := &printer{w: w}
	p.line("host %s, zone %s, region %s%s", plan.Host, plan.Zone, plan.Region, hostState(plan))
	p.route(plan)
	for _, r := range plan.Refusals {
		p.line("refused: %s", r)
	}
	p.allowance(plan.Allowance)
	for i := range plan.Paths {
		p.path(plan, &plan.Paths[i], all)
	}
	if plan.PathsLeftOut > 0 {
		p.line("%d more services of the split are left out", plan.PathsLeftOut)
	}
	for _, u := range plan.Unknown {
		p.line("not known here: %s", u)
	}
	return p.err
}

func hostState(plan *routeplan.Plan) string {
	s := ""
	if !plan.Serving {
		s += ", clients are not directed to it"
	}
	if plan.Leaving {
		s += ", stopping"
	}
	return s
}

func (p *printer) route(plan *routeplan.Plan) {
	r := &plan.Route
	kind := fmt.Sprintf("one of %d services", len(plan.Paths)+plan.PathsLeftOut)
	if r.Shards > 0 {
		kind = fmt.Sprintf("at least %d of %d shards", r.Least, r.Shards)
	}
	again := "idempotent, " + strconv.Itoa(r.Attempts) + " attempts"
	if !r.Idempotent {
		again = "not idempotent"
	}
	p.line("route %s (%s%s), configuration version %d: %s, %s, priority %d, objective %s, timeout %s", r.Name, r.Host, r.Prefix, plan.Version, kind, again, r.Priority, ms(r.Objective), ms(r.Timeout))
	if plan.Balanced {
		p.line("requests are spread over the replicas by capacity")
	}
	if len(r.Homes) > 0 {
		p.line("home regions: %s", strings.Join(r.Homes, ", "))
	}
}

func (p *printer) allowance(a *routeplan.Allowance) {
	switch {
	case a == nil:
		return
	case !a.Limited:
		p.line("customer %s: no limit", a.Customer)
		return
	}
	keeper := "no host keeps the count"
	switch {
	case a.Kept:
		keeper = "this host keeps the count"
	case a.Keeper != "":
		keeper = "kept by " + a.Keeper
	}
	if len(a.Deputies) > 0 {
		keeper += ", in its place " + strings.Join(a.Deputies, ", ")
	}
	p.line("customer %s: %g/s, burst %g, in %d shares; %s", a.Customer, a.PerSecond, a.Burst, a.Shares, keeper)
	if a.KeeperBackoff > 0 {
		p.line("  the keeper failed and is not asked for %s", ms(a.KeeperBackoff))
	}
	if a.RefusedFor > 0 {
		p.line("  the last refusal holds for %s", ms(a.RefusedFor))
	} else if !a.Kept {
		p.line("  no refusal by another host holds")
	}
	if a.Advance > 0 {
		p.line("  %d tokens granted in advance are left", a.Advance)
	}
	p.line("  new client: %s", decision(&a.New))
	p.line("  returning client: %s", decision(&a.Returning))
	if a.Alone != nil {
		p.line("  if no other host replies: %s", decision(a.Alone))
	}
}

func decision(d *routeplan.Decision) string {
	switch {
	case d.Asks != "":
		return "asks " + d.Asks
	case d.Admitted:
		return "admitted (" + d.Source + ")"
	}
	return fmt.Sprintf("refused (%s), to come back after %s", d.Source, ms(d.RetryAfter))
}

func (p *printer) path(plan *routeplan.Plan, path *routeplan.Path, all bool) {
	if plan.Route.Shards == 0 {
		p.line("")
		p.line("%.1f%% of the requests:", 100*path.Weight)
	}
	a := &path.Admission
	if a.Unservable {
		p.line("admission: refused, too few shards have a replica that may be used")
	} else {
		p.line("admission: expected wait %s, bound %s, refused with probability %.2f, or %.2f if the client comes back after %s", ms(a.Wait), ms(a.Bound), a.New, a.Returning, ms(a.ReturningWaited))
	}
	p.line("usual reply %s, second attempt after %s", ms(path.Usual), ms(path.Hedge))
	for _, g := range path.Groups {
		by := "this host, as no host there is available"
		if len(g.Hosts) > 0 {
			by = "one of " + strings.Join(g.Hosts, ", ") + ", which chooses the replicas itself"
		}
		p.line("zone %s, %d shards, gathered by %s: %s", g.Zone, len(g.Services), by, strings.Join(g.Services, ", "))
	}
	var plain []string
	for i := range path.Services {
		s := &path.Services[i]
		if !all && s.Plain() {
			plain = append(plain, s.Name+" "+s.Chosen)
			continue
		}
		p.service(s)
	}
	if len(plain) > 0 {
		p.line("plain choices, %d of %d: %s", len(plain), len(path.Services)+path.ServicesLeftOut, strings.Join(plain, ", "))
	}
	if path.ServicesLeftOut > 0 {
		p.line("%d more shards are left out", path.ServicesLeftOut)
	}
}

// turnColumn is the column of the turns in a balanced service, after that of the drawn shares.
const turnColumn = 8

func (p *printer) service(s *routeplan.Service) {
	p.line("")
	p.line("%s: %s", s.Name, outcome(s))
	p.line("  expected wait %s, %d waiting here, %.2f requests per slot, extra attempts left: %s retries, %s hedges", ms(s.Wait), s.Waiting, s.Utilization, budget(s.Retries), budget(s.Hedges))
	if len(s.Candidates) == 0 {
		return
	}
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	row := func(turn string, cells ...string) {
		if s.Balanced {
			cells = slices.Insert(cells, turnColumn, turn)
		}
		for i := range cells {
			cells[i] = printable(cells[i])
		}
		fmt.Fprintln(t, "  "+strings.Join(cells, "\t"))
	}
	row("turn", "replica", "zone", "estimate", "slowness", "failures", "measured", "in flight", "drawn", "state", "passed over")
	for i := range s.Candidates {
		c := &s.Candidates[i]
		passed := string(c.Reason)
		if c.ID == s.Chosen {
			passed = "chosen"
		}
		row(fmt.Sprintf("%.2f", c.Turn), c.ID, c.Zone, ms(c.Estimate), fmt.Sprintf("%.2f", c.Slowness), fmt.Sprintf("%.2f", c.Failures), measured(c), fmt.Sprintf("%d/%d", c.Running, c.Limit), fmt.Sprintf("%.0f%%", 100*c.Share), state(c), passed)
	}
	if err := t.Flush(); p.err == nil {
		p.err = err
	}
	if s.CandidatesLeftOut > 0 {
		p.line("  %d more replicas are left out", s.CandidatesLeftOut)
	}
}

func outcome(s *routeplan.Service) string {
	switch s.Verdict {
	case routeplan.Sent:
		return s.Chosen + ", " + string(s.Rule)
	case routeplan.Waits:
		return "waits until a replica has room"
	}
	return "no replica may be used"
}

func budget(n int) string {
	if n >= routeplan.MaxBudget {
		return strconv.Itoa(n) + " or more"
	}
	return strconv.Itoa(n)
}

func measured(c *routeplan.Candidate) string {
	if !c.Measured {
		return "never"
	}
	return ms(c.Age) + " ago"
}

func state(c *routeplan.Candidate) string {
	var list []string
	if c.Cold {
		list = append(list, "cold")
	}
	if c.Backoff > 0 {
		list = append(list, "backoff "+ms(c.Backoff))
	}
	if c.Oldest > 0 {
		list = append(list, "oldest "+ms(c.Oldest))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}

// ms formats a duration in milliseconds, with one decimal below 100 ms.
func ms(d time.Duration) string {
	v := float64(d) / float64(time.Millisecond)
	if v > 0 && v < 100 {
		return strconv.FormatFloat(v, 'f', 1, 64) + "ms"
	}
	return strconv.FormatFloat(v, 'f', 0, 64) + "ms"
}
