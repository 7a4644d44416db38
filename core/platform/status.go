package platform

// Status is the body of a status object: what the system reports of one service. One host writes it, at a bounded rate.
type Status struct {
	Service string `json:"service"`
	// Generation is the number of the document in force, Proposed the highest one that was seen.
	Generation int64 `json:"generation"`
	Proposed   int64 `json:"proposed"`
	// Refused says why the proposal is not in force; it is empty where it is.
	Refused string      `json:"refused,omitempty"`
	Hosts   StatusHosts `json:"hosts"`
	// Replicas are those known to the host that wrote the status.
	Replicas StatusReplicas  `json:"replicas"`
	Versions []StatusVersion `json:"versions"`
	// WrittenBy is the caller address of the host that wrote the status.
	WrittenBy string `json:"written_by"`
}

// StatusHosts counts entry hosts.
type StatusHosts struct {
	// Alive, Suspect and Leaving count the hosts that are not dead.
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Leaving int `json:"leaving"`
	// Asked is how many of them, all of a small fleet and a random sample of a large one, were asked for their
	// generation; InForce of them had it.
	Asked   int `json:"asked"`
	InForce int `json:"in_force"`
}

// StatusReplicas counts replicas.
type StatusReplicas struct {
	Known    int `json:"known"`
	Draining int `json:"draining"`
}

// StatusVersion is one index version and how many of its shards have a replica.
type StatusVersion struct {
	Version int64 `json:"version"`
	Shards  int   `json:"shards"`
	Held    int   `json:"held"`
	// Least is the number of replicas of the shard that has the fewest.
	Least int `json:"least"`
}
