// Package forward answers clients' opaque requests from the replicas that their routes name.
package forward
