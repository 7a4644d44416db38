package routeplan

import "unicode/utf8"

// Cut shortens the plan to the bounds of a reply and counts what it leaves out.
func (p *Plan) Cut() {
	p.Paths, p.PathsLeftOut = head(p.Paths, MaxPaths)
	services, candidates := MaxServices, MaxCandidates
	for i := range p.Paths {
		path := &p.Paths[i]
		path.Services, path.ServicesLeftOut = head(path.Services, services)
		services -= len(path.Services)
		for k := range path.Services {
			s := &path.Services[k]
			s.Candidates, s.CandidatesLeftOut = chosenFirst(s, min(candidates, MaxPerService))
			candidates -= len(s.Candidates)
			s.cutText()
		}
		path.Groups, _ = head(path.Groups, MaxNames)
		for k := range path.Groups {
			g := &path.Groups[k]
			cut(&g.Zone)
			g.Hosts, g.Services = names(g.Hosts), names(g.Services)
		}
	}
	for _, s := range []*string{&p.Host, &p.Zone, &p.Region, &p.Route.Name, &p.Route.Host, &p.Route.Prefix} {
		cut(s)
	}
	p.Route.Homes = names(p.Route.Homes)
	if a := p.Allowance; a != nil {
		cut(&a.Customer)
		a.Deputies = names(a.Deputies)
	}
}

// chosenFirst returns at most n candidates, with the chosen one among them, and the number of the others.
func chosenFirst(s *Service, n int) ([]Candidate, int) {
	for i := range s.Candidates {
		if s.Candidates[i].ID == s.Chosen && i >= n && n > 0 {
			s.Candidates[n-1], s.Candidates[i] = s.Candidates[i], s.Candidates[n-1]
		}
	}
	return head(s.Candidates, n)
}

func (s *Service) cutText() {
	cut(&s.Name)
	cut(&s.Chosen)
	for i := range s.Candidates {
		cut(&s.Candidates[i].ID)
		cut(&s.Candidates[i].Zone)
	}
}

// head returns the first n elements of list and the number of the others.
func head[T any](list []T, n int) ([]T, int) {
	kept := min(n, len(list))
	return list[:kept], len(list) - kept
}

// names returns a copy of at most MaxNames names, each of at most MaxText bytes.
func names(list []string) []string {
	short, _ := head(list, MaxNames)
	short = append([]string(nil), short...)
	for i := range short {
		cut(&short[i])
	}
	return short
}

// cut shortens a text to MaxText bytes, at the end of a character.
func cut(s *string) {
	if len(*s) <= MaxText {
		return
	}
	n := MaxText
	for n > 0 && !utf8.RuneStart((*s)[n]) {
		n--
	}
	*s = (*s)[:n]
}
