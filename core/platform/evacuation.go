package platform

// Evacuation is an operator's order to send no requests to the replicas of one availability zone; it is in effect as
// long as its object exists.
type Evacuation struct {
	// Zone is the availability zone, which is also the name of the object.
	Zone string `json:"zone"`
}
