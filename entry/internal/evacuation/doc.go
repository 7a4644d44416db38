// Package evacuation knows the availability zones to whose replicas nothing is sent.
package evacuation
