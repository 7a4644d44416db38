package opaque

// Caller is a client that asks which addresses to use.
type Caller struct {
	// Host is the name to which its requests will be addressed.
	Host string
	// Region and Zone are where it is.
	Region, Zone string
}
