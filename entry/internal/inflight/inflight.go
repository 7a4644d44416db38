package inflight

import "math"

const (
	// queueFactor is the number of requests that all hosts together may have at a replica that may have a queue, as a
	// multiple of its slots: those that run, and as many again to take slots as they become free. More would only
	// lengthen the replica's queue, which is not ordered.
	queueFactor = 2
	// lowUtilization is the utilization of the replicas' slots, 0 to 1, below which a host may have one request more
	// than its share.
	lowUtilization = 0.5
	// patientFactor is that number for patient routes, see PatientLimit. The part above 1 covers the time from a reply to
	// the next request.
	patientFactor = 1.25
	// fullUtilization is the utilization from which on the replicas may have no free slot.
	fullUtilization = 1
	// defaultSlots is the assumed number of slots of a replica that does not report it.
	defaultSlots = 4
)

// Slots returns the number of requests that a replica runs at once: the number it reports, or a default if that is zero
// or less.
func Slots(reported int) int {
	if reported <= 0 {
		return defaultSlots
	}
	return reported
}

// Limit returns the number of requests that a host may have in flight at a replica, given the number of slots that the
// replica reports, the host's share of all requests, and the utilization of the slots of all replicas of the service.
//
// Under overload the hosts together must not fill the replicas' queues, so each is limited to its share. Under low load
// a limit of one request is too strict: with 15 hosts, a limit of one each, and a replica of 7 slots that has 0.75
// requests in flight on average, each host finds its limit reached for every fourth attempt. One more is allowed only
// at low utilization: where the capacity is just sufficient, it would fill the queues.
func Limit(reported int, share, utilization float64) int {
	limit := max(1, math.Ceil(queueFactor*float64(Slots(reported))*share))
	if utilization < lowUtilization {
		limit++
	}
	return int(limit)
}

// PatientLimit returns the limit for requests of a route that shares the replicas with one of a much shorter objective.
//
// A replica's queue is not ordered: with Limit for both, an urgent request of 7 ms waits there for up to eight others
// of 20 ms each. Once all slots are in use, patient requests wait at the host instead, where urgent ones pass them.
func PatientLimit(reported int, share, utilization float64) int {
	if utilization < fullUtilization {
		return Limit(reported, share, utilization)
	}
	return int(max(1, math.Ceil(patientFactor*float64(Slots(reported))*share)))
}
