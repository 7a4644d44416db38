package opaque

// Caller is a client that requests addresses of hosts.
type Caller struct {
	// Host is the host name of its later requests.
	Host string
	// Region and Zone are the location of the client.
	Region, Zone string
}
