package memberlog

import (
	"github.com/go-logr/logr"

	"guavaspring.org/core/event"
	"guavaspring.org/entry/internal/events"
	"guavaspring.org/entry/internal/member"
)

// Changed returns a callback that logs each state change of another host.
func Changed(log logr.Logger) func(old, now member.Host) {
	return func(old, now member.Host) {
		ev := map[member.State]event.Event{
			member.StateAlive: events.MemberAlive, member.StateSuspect: events.MemberSuspect,
			member.StateLeaving: events.MemberLeaving, member.StateDead: events.MemberDead,
		}[now.State]
		ev.Log(log, "id", now.ID, "peer", now.Peer.String(), "zone", now.Zone, "epoch", now.Epoch, "was", old.State)
	}
}
