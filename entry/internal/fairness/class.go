package fairness

// Class identifies the requests that are treated alike under overload. The zero value means that the configuration
// calls for no distinction.
type Class struct {
	// Pool names the services of the route; routes with the same services have the same pool.
	Pool string
	// Customer is the name of the customer, empty if there is none; Route is the name of the route.
	Customer, Route string
	// Priority is that of the customer, else of the route; 0 is the highest.
	Priority int
	// Patient is whether a route with a much shorter objective competes for the same services.
	Patient bool
	// Lower is whether a route with a higher priority competes for the same services and the configuration names no
	// customers.
	Lower bool
	// Shared is whether the requests are admitted by priority and fair share.
	Shared bool
}

// Active reports whether the configuration calls for a distinction between classes.
func (c *Class) Active() bool { return c.Pool != "" }

// Order returns the place of the class in a queue of waiting attempts; lower goes first. Within a priority, requests
// with a short objective go before those that can wait.
func (c *Class) Order() int {
	order := 0
	if c.Shared {
		order = 2 * c.Level()
	}
	if c.Patient {
		order++
	}
	return order
}

// Levels is the number of priorities that are distinguished; lower ones are treated as the last.
const Levels = 8

// Level returns the priority as one of the distinguished ones, from 0 on.
func (c *Class) Level() int { return min(max(c.Priority, 0), Levels-1) }
