package events

import "guavaspring.org/core/event"

// Events of membership, 1500 to 1599.
var (
	MemberAlive   = event.New(1500, "member_alive", "Another host joined, or showed that it is alive after it was thought suspect or dead.")
	MemberSuspect = event.New(1501, "member_suspect", "Another host answers neither a direct nor an indirect probe, or is said not to; it has a few seconds to show that it is alive.")
	MemberLeaving = event.New(1502, "member_leaving", "Another host said that it is stopping: it still serves and is not handed out.")
	MemberDead    = event.New(1503, "member_dead", "Another host is taken for ended.")
)

// Events of configuration that reaches this host by other ways than its own judgement, 1150 to 1199.
var (
	ConfigUnreadable = event.New(1150, "config_unreadable", "An accepted generation could not be read here; the one in force stays, and newer hosts may use it.")
)

// Events of rumors, 1550 to 1569.
var (
	RumorHeard = event.New(1550, "rumor_heard", "A fact that another host told all others, such as a replica that is leaving, was taken over.")
)

// Events of the hosts' directory on the platform, 1570 to 1589.
var (
	DirectoryWritten    = event.New(1570, "directory_written", "This host, the first of its zone, wrote the zone's object by which starting hosts find the others.")
	DirectoryUnreadable = event.New(1571, "directory_unreadable", "The object of a zone in the directory could not be read and was left out.")
	DirectoryFailed     = event.New(1572, "directory_failed", "The objects of the directory could not be read, or the zone's own not be written; it is tried again. Call says which.")
)

// Events of status, 1900 to 1999.
var (
	StatusWritten = event.New(1900, "status_written", "This host wrote the status of a service, whose first watcher it is.")
	StatusFailed  = event.New(1901, "status_failed", "The status of a service could not be written; it is tried again.")
)
