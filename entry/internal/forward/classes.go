package forward

import (
	"guavaspring.org/core/route"
	"guavaspring.org/entry/internal/fairness"
)

// classes holds the classes of one configuration.
type classes struct {
	table *route.Table
	plan  *fairness.Plan
}

// class returns the class of a request of a customer, nil if there is none. The classes are derived once from each
// configuration, when the first request uses it.
func (f *Forwarder) class(table *route.Table, rt *route.Route, customer *route.Customer) fairness.Class {
	c := f.classes.Load()
	if c == nil || c.table != table {
		c = &classes{table: table, plan: fairness.NewPlan(table.Config())}
		f.classes.Store(c)
	}
	return c.plan.Class(rt, customer)
}
