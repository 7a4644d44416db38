package events

import "guavaspring.org/core/event"

// Events of membership, 1500 to 1599.
var (
	MemberAlive   = event.New(1500, "member_alive", "Another host joined, or showed that it is alive after it was thought suspect or dead.")
	MemberSuspect = event.New(1501, "member_suspect", "Another host answers neither this one nor its helpers, or is said not to; it has a few seconds to show that it is alive.")
	MemberLeaving = event.New(1502, "member_leaving", "Another host said that it is stopping: it still serves and is not handed out.")
	MemberDead    = event.New(1503, "member_dead", "Another host is taken for ended.")
)
