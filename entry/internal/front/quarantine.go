package front

import (
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/rumor"
)

// opaqueService is the service name in quarantine rumors of opaque requests; the fingerprint already covers the host
// and the path of a request.
const opaqueService = "opaque"

// newQuarantine returns the quarantine of opaque requests, which the hosts share by rumors.
func (f *Front) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{
		Clock: f.opts.Clock, Service: opaqueService, Publish: f.publishQuarantine,
		Judged: func(fp, why string) {
			events.Quarantined.Log(f.opts.Log, "service", opaqueService, "fingerprint", fp, "why", why)
		},
	})
}

// publishQuarantine sends the other hosts a request that crashes replicas, as its client may retry at any of them.
func (f *Front) publishQuarantine(r rumor.Rumor) {
	if err := f.membership.peers.Publish(r); err != nil {
		events.QuarantineNotSent.Log(f.opts.Log, "fingerprint", r.Key, "reason", err.Error())
	}
}
