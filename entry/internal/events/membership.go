package events

import "guavaspring.org/core/event"

// Events of membership, 1500 to 1599.
var (
	MemberAlive   = event.New(1500, "member_alive", "Another host joined, or proved to be alive after it was suspect or dead.")
	MemberSuspect = event.New(1501, "member_suspect", "Another host answered neither a direct nor an indirect probe, or was reported as such; it is declared dead unless it answers within a few seconds.")
	MemberLeaving = event.New(1502, "member_leaving", "Another host announced that it is stopping: it still serves and is left out of address responses.")
	MemberDead    = event.New(1503, "member_dead", "Another host was declared dead.")
)

// Events of configuration that another host accepted, 1150 to 1199.
var (
	ConfigUnreadable = event.New(1150, "config_unreadable", "An accepted generation can't be decoded by this host; the one in force stays, and newer hosts may use it.")
)

// Events of rumors, 1550 to 1569.
var (
	RumorHeard = event.New(1550, "rumor_heard", "A rumor of another host, such as a replica that is draining, was applied.")
)

// Events of the hosts' directory on the platform, 1570 to 1589.
var (
	DirectoryWritten    = event.New(1570, "directory_written", "This host, the first of its zone, wrote the zone's directory object, which starting hosts use to find the others.")
	DirectoryUnreadable = event.New(1571, "directory_unreadable", "The directory object of a zone can't be decoded and was left out.")
	DirectoryFailed     = event.New(1572, "directory_failed", "The directory objects could not be read, or the object of this host's zone could not be written; the call is retried. Call says which.")
)

// Events of the services' status objects, 1900 to 1999.
var (
	StatusWritten = event.New(1900, "status_written", "This host wrote the status of a service, as the first host that watches it.")
	StatusFailed  = event.New(1901, "status_failed", "The status of a service could not be written; the write is retried.")
)
