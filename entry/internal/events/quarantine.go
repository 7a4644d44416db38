package events

import "guavaspring.org/core/event"

// Events of quarantine, 1800 to 1899.
var (
	Quarantined       = event.New(1800, "request_quarantined", "A request was quarantined and is refused from now on, as connections to two replicas broke while they ran it; fingerprint identifies it.")
	QuarantineNotSent = event.New(1801, "quarantine_untold", "A quarantine or a suspicion could not be sent to the other hosts; reason says why.")
)
