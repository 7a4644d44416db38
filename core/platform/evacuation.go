package platform

// Evacuation is an operator's order that nothing more is sent to the replicas of one availability zone; it holds as
// long as its object exists.
type Evacuation struct {
	// Zone is the availability zone, which is the object's name as well.
	Zone string `json:"zone"`
}
