package events

import "guavaspring.org/core/event"

// Events of a host's start and stop, 1000 to 1099.
var (
	Started         = event.New(1000, "host_started", "The host listens and has started its background tasks.")
	Warm            = event.New(1003, "host_warm", "The host opens its port for callers: it can answer queries, or the longest time that it waits for that is over.")
	Stopping        = event.New(1001, "host_stopping", "The host received a signal to stop: it is left out of address responses and completes the requests in flight.")
	SettingsRead    = event.New(1004, "settings_read", "The settings file was read again and its changes are in force.")
	SettingsRefused = event.New(1005, "settings_refused", "The settings file could not be read again; the settings read before stay in force.")
	Costs           = event.New(1006, "host_costs", "Bytes that the host has sent and received since its start, by cause and by whether they stay in its zone, and its calls to the platform by purpose.")
	GraceOver       = event.New(1007, "host_grace_over", "The host that stops has served for as long as most clients keep its address, and closes its port once no connection is open, or shortly before it is killed; in_flight is the number of requests that it still has to answer, and late that of those received since the signal.")
	ServerFailed    = event.New(1008, "server_failed", "An HTTP server of the host could not serve a connection: a handler panicked, or the listener failed for a moment.")
	Stopped         = event.New(1002, "host_stopped", "The host has completed all requests in flight and exits; in_flight is the number of requests that it has not answered.")
)

// Events of configuration, 1100 to 1199.
var (
	ConfigInForce  = event.New(1100, "config_in_force", "A newer accepted generation of a service's document is in force on this host.")
	ConfigAccepted = event.New(1101, "config_accepted", "This host validated a document and recorded its acceptance in the platform.")
	ConfigRefused  = event.New(1102, "config_refused", "This host rejected an invalid document; the last accepted one stays in force.")
	ConfigStale    = event.New(1103, "config_stale_ignored", "A generation older than the one in force was received and ignored.")
)

// Events of the platform, its store and its replicas, 1200 to 1299.
var (
	PlatformDown = event.New(1200, "platform_down", "A call to the platform failed; the host continues with the data that it has.")
	PlatformUp   = event.New(1201, "platform_up", "The platform answers again.")
	ReplicaSeen  = event.New(1202, "replica_seen", "A replica was added to a service.")
	ReplicaGone  = event.New(1203, "replica_gone", "A replica was removed from a service.")

	HistoryGone      = event.New(1204, "history_gone", "The platform no longer keeps the changes since the last watch; all objects of the kind are listed again.")
	ParentLost       = event.New(1206, "parent_lost", "The host that passes configurations or replicas on to this one did not answer; another host is asked next.")
	ObjectUnreadable = event.New(1205, "object_unreadable", "An object of the platform can't be decoded and is left out; its last readable value no longer applies, except for a configuration. Logged once per revision.")

	ObjectsUnreadable = event.New(1207, "objects_unreadable", "A reply of the platform held more undecodable objects than are logged one by one; more is the number of the others.")
	ReplicaRestarted  = event.New(1208, "replica_restarted", "A replica started again under the same ID; the state of the former process is dropped and its connections are closed.")
	ReplicaRowOld     = event.New(1209, "replica_row_old", "A row of a replica is older than the one in use and is ignored; a row of another process is applied if nothing newer comes.")

	ZoneEvacuated = event.New(1210, "zone_evacuated", "An operator's evacuation of an availability zone reached this host, which sends no more requests to the zone's replicas.")
	ZoneReleased  = event.New(1211, "zone_released", "The evacuation of an availability zone was revoked; after is the time for which it was in force on this host.")

	AnswerOlder     = event.New(1212, "answer_older", "A reply of the platform or of another host is older than the data of this host and was ignored. Logged for the first of several in a row.")
	StoreEra        = event.New(1213, "store_era", "Objects of a kind were read in another restart era of the platform's store than before: the store was restored from a backup, or this host has just started. Kept is the number of objects that keep their value because the backup is older.")
	StoreEraMissing = event.New(1215, "era_unsaid", "A reply of the platform's store has no era, or one that is not a number; its revisions are compared as if they were of the known era. Logged once until a reply has an era again.")
	RetainedApplied = event.New(1214, "kept_taken", "Objects that another host keeps from an earlier restart era of the platform's store were applied; the store has older versions of them or none. News is the number of those that were new to this host.")
)

// Events of requests, 1300 to 1399.
var (
	Routed       = event.New(1300, "query_routed", "A query was pinned to a snapshot and the first replica of each shard was selected.")
	Retried      = event.New(1301, "shard_retried", "A shard was retried at another replica after a failed attempt.")
	Hedged       = event.New(1302, "shard_hedged", "A shard was hedged: it was sent to a second replica while the first attempt was still in flight.")
	Answered     = event.New(1303, "query_answered", "A query was answered; the line holds its coverage, its time and its retries and hedges.")
	SubqueryLost = event.New(1305, "subquery_lost", "Another host that gathers parts of this host's queries did not answer and gets no more for two seconds; the shards are retried as the retry budget allows.")
	Refused      = event.New(1304, "request_refused", "A request was refused before any attempt.")
)
