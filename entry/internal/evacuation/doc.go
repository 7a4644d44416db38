// Package evacuation tracks the availability zones that operators have evacuated: their replicas get no requests.
package evacuation
