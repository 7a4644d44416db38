package routestats

// Copy returns a copy of the statistics, which may be changed without an effect on the original.
func (r *Route) Copy() *Route {
	c := &Route{}
	r.Recent.CopyTo(&c.Recent)
	r.Unloaded.CopyTo(&c.Unloaded)
	r.Patience.CopyTo(&c.Patience)
	r.Arriving.CopyTo(&c.Arriving)
	return c
}
