package platform

// Status is the body of a status object, the reported status of one service. One host writes it, at a limited rate.
type Status struct {
	Service string `json:"service"`
	// Generation is the number of the document in effect, Proposed the highest number seen.
	Generation int64 `json:"generation"`
	Proposed   int64 `json:"proposed"`
	// Refused is the reason why the proposed document is not in effect, empty if it is in effect.
	Refused string      `json:"refused,omitempty"`
	Hosts   StatusHosts `json:"hosts"`
	// Replicas counts the replicas known to the host that wrote the status.
	Replicas StatusReplicas  `json:"replicas"`
	Versions []StatusVersion `json:"versions"`
	// WrittenBy is the address for callers of the host that wrote the status.
	WrittenBy string `json:"written_by"`
}

// StatusHosts counts entry hosts.
type StatusHosts struct {
	// Alive, Suspect and Leaving count the hosts that are not dead.
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Leaving int `json:"leaving"`
	// Asked is the number of hosts whose generation was requested: all of a small fleet, a random sample of a large one.
	// InForce is the number of those that had this generation.
	Asked   int `json:"asked"`
	InForce int `json:"in_force"`
}

// StatusReplicas counts replicas.
type StatusReplicas struct {
	Known    int `json:"known"`
	Draining int `json:"draining"`
}

// StatusVersion is an index version and the number of its shards that have a replica.
type StatusVersion struct {
	Version int64 `json:"version"`
	Shards  int   `json:"shards"`
	Held    int   `json:"held"`
	// Least is the number of replicas of the shard with the fewest.
	Least int `json:"least"`
}
