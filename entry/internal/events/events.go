package events

import "guavaspring.org/core/event"

// Events of a host's life, 1000 to 1099.
var (
	Started         = event.New(1000, "host_started", "The host listens and has begun its duties.")
	Warm            = event.New(1003, "host_warm", "The host opens its port for callers: it can serve, or has waited as long as it may.")
	Stopping        = event.New(1001, "host_stopping", "The host was told to stop: it is no longer handed out and finishes what is in flight.")
	SettingsRead    = event.New(1004, "settings_read", "The settings file was read again and its changes are in force.")
	SettingsRefused = event.New(1005, "settings_refused", "The settings file could not be read again; what was read before stays in force.")
	Costs           = event.New(1006, "host_costs", "What the host has sent and received since its start, by cause and inside its zone or across its border, and its calls to the platform by what they are for.")
	Stopped         = event.New(1002, "host_stopped", "The host has finished every request in flight and ends.")
)

// Events of configuration, 1100 to 1199.
var (
	ConfigInForce  = event.New(1100, "config_in_force", "A newer accepted generation of a service's document is in force on this host.")
	ConfigAccepted = event.New(1101, "config_accepted", "This host validated a document and recorded its acceptance in the platform.")
	ConfigRefused  = event.New(1102, "config_refused", "This host found a document wrong; the last accepted one stays in force.")
	ConfigStale    = event.New(1103, "config_stale_ignored", "An older generation than the one in force was received and ignored.")
)

// Events of the platform's side, 1200 to 1299.
var (
	PlatformDown = event.New(1200, "platform_down", "A call to the platform failed; the host goes on with what it knows.")
	PlatformUp   = event.New(1201, "platform_up", "The platform answers again.")
	ReplicaSeen  = event.New(1202, "replica_seen", "A replica was added to a service.")
	ReplicaGone  = event.New(1203, "replica_gone", "A replica was removed from a service.")

	HistoryGone      = event.New(1204, "history_gone", "The platform no longer keeps the changes since the last watch; all objects of the kind are listed again.")
	ParentLost       = event.New(1206, "parent_lost", "The host from which this one hears of configurations or replicas did not answer; another is asked next.")
	ObjectUnreadable = event.New(1205, "object_unreadable", "An object of the platform can't be read and is left out; what it said before no longer holds, but for a configuration. Told once for each of its revisions.")

	ObjectsUnreadable = event.New(1207, "objects_unreadable", "A reply of the platform held more objects that can't be read than are logged one by one; more says how many.")
	ReplicaRestarted  = event.New(1208, "replica_restarted", "A replica started again under the id that it had; what was known of the process before is dropped, with its connections.")
	ReplicaRowOld     = event.New(1209, "replica_row_old", "A row of a replica is older than the one in use and is ignored; one of another process is believed if nothing newer comes.")

	ZoneEvacuated = event.New(1210, "zone_evacuated", "An operator's order reached this host that nothing more is sent to the replicas of an availability zone.")
	ZoneReleased  = event.New(1211, "zone_released", "The order to send nothing to the replicas of an availability zone was taken back; after says how long it held here.")

	AnswerOlder = event.New(1212, "answer_older", "An answer of the platform or of another host is older than what is known here and was not taken over; the first of those in a row.")
	StoreEra    = event.New(1213, "store_era", "Objects of a kind were read in another era of the platform's store than before: it came back from an older copy of itself, or this host has just started. Kept is how many objects stay what they were, as the copy is older.")
	EraUnsaid   = event.New(1215, "era_unsaid", "An answer of the platform's store doesn't say the era, or says something that is no number; revisions are compared as if it were the one that is known. Written once until an answer says it.")
	KeptTaken   = event.New(1214, "kept_taken", "Another host keeps objects from an earlier era of the platform's store, which the store's copy has older or not at all; they were taken over. News is how many were new here.")
)

// Events of requests, 1300 to 1399.
var (
	Routed       = event.New(1300, "query_routed", "A query was pinned to a snapshot and each shard's first replica chosen.")
	Retried      = event.New(1301, "shard_retried", "A shard was tried again at another replica after a failure.")
	Hedged       = event.New(1302, "shard_hedged", "A shard was tried at a second replica while the first still ran.")
	Answered     = event.New(1303, "query_answered", "A query was answered; coverage, time and extra tries are in the line.")
	SubqueryLost = event.New(1305, "subquery_lost", "Another host that gathers parts of this host's queries did not answer, and gets none for two seconds; the shards are tried again as the budget allows.")
	Refused      = event.New(1304, "request_refused", "A request was refused before anything was sent upstream.")
)
