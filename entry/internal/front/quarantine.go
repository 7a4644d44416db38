package front

import (
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/rumor"
)

// opaqueRequests is the service name in quarantine rumors of opaque requests; the fingerprint already covers the host
// and the path of a request.
const opaqueRequests = "opaque"

// newQuarantine returns the quarantine of opaque requests, which the hosts share by rumors.
func (f *Front) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{
		Clock: f.opts.Clock, Service: opaqueRequests, Publish: f.tellQuarantine,
		Judged: func(fp, why string) {
			events.Quarantined.Log(f.opts.Log, "service", opaqueRequests, "fingerprint", fp, "why", why)
		},
	})
}

// tellQuarantine sends the other hosts a request that crashes replicas, as its client may retry at any of them.
func (f *Front) tellQuarantine(r rumor.Rumor) {
	if err := f.joined.peers.Publish(r); err != nil {
		events.QuarantineUntold.Log(f.opts.Log, "fingerprint", r.Key, "reason", err.Error())
	}
}
