package balance

// CopyTo copies the turns to other ones, which then advance on their own.
func (t *Turns) CopyTo(to *Turns) { to.newest.Store(t.newest.Load()) }
