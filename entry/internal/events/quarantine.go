package events

import "guavaspring.org/core/event"

// Events of quarantine, 1800 to 1899.
var (
	Quarantined      = event.New(1800, "request_quarantined", "A request is refused from now on, as connections to two replicas broke under it; fingerprint names it.")
	QuarantineUntold = event.New(1801, "quarantine_untold", "A quarantine or a suspicion could not be told to the other hosts; reason says why.")
)
