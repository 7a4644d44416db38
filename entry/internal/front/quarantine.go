package front

import (
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/quarantine"
	"guavaspring.org/entry/internal/rumor"
)

// opaqueRequests stands for the service in what hosts tell each other of opaque requests: a fingerprint names the host
// and the path too.
const opaqueRequests = "opaque"

// newQuarantine returns the quarantine of opaque requests, which all hosts share.
func (f *Front) newQuarantine() *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{
		Clock: f.opts.Clock, Service: opaqueRequests, Publish: f.tellQuarantine,
		Judged: func(fp, why string) {
			events.Quarantined.Log(f.opts.Log, "service", opaqueRequests, "fingerprint", fp, "why", why)
		},
	})
}

// tellQuarantine tells the other hosts of a request that crashes replicas: its caller may turn to any of them next.
func (f *Front) tellQuarantine(r rumor.Rumor) {
	if err := f.joined.peers.Publish(r); err != nil {
		events.QuarantineUntold.Log(f.opts.Log, "fingerprint", r.Key, "reason", err.Error())
	}
}
