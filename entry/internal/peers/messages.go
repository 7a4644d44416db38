package peers

import (
	"net/netip"

	"guavaspring.org/core/platform"
	"guavaspring.org/entry/internal/accepted"
	"guavaspring.org/entry/internal/digest"
	"guavaspring.org/entry/internal/listing"
	"guavaspring.org/entry/internal/member"
	"guavaspring.org/entry/internal/rumor"
)

// Packet is what hosts send each other with every probe and every reply to one.
type Packet struct {
	Member member.Message
	Rumors []rumor.Rumor
	// Sums lets the receiver see that its tables differ from the sender's.
	Sums Sums
}

// Sums holds the digest of each table that all hosts share.
type Sums struct{ Members, Generations, Rumors, Replicas uint64 }

// News is what a host tells its neighbours at once instead of with the next probes.
type News struct {
	// From is the sender's address, where the documents of Marks can be had.
	From   netip.AddrPort
	Marks  []accepted.Mark
	Rumors []rumor.Rumor
	// Hosts holds the rows of hosts that are stopping, that callers are sent to and nobody reaches, or that show that
	// they are alive.
	Hosts []member.Host
	// Replicas holds rows of the platform's replica list that changed.
	Replicas []listing.Row
}

// AskArgs asks another host to probe Target.
type AskArgs struct{ Target member.Host }

// AskReply says whether Target answered.
type AskReply struct{ Reached bool }

// SumsArgs asks for the digests below a prefix of one table.
type SumsArgs struct {
	Table  Table
	Prefix digest.Prefix
}

// SumsReply holds the digests asked for.
type SumsReply struct{ Sums []digest.Sum }

// RowsArgs exchanges the rows below a prefix of one table.
type RowsArgs struct {
	Table  Table
	Prefix digest.Prefix
	// From is the sender's address, where the documents of its marks can be had.
	From netip.AddrPort
	Rows Rows
}

// Rows holds rows of the table in question.
type Rows struct {
	Members []member.Host
	Marks   []accepted.Mark
	Rumors  []rumor.Rumor
	// Replicas holds rows of the platform's replica list.
	Replicas []listing.Row
}

// GenerationArgs asks for the accepted object of a service.
type GenerationArgs struct{ Service string }

// GenerationReply holds the accepted object as it was recorded.
type GenerationReply struct{ Raw []byte }

// NumberReply says which generation is in force.
type NumberReply struct{ Number int64 }

// ReplicasArgs asks for the replica list that was read last.
type ReplicasArgs struct{}

// ReplicasReply holds that list.
type ReplicasReply struct{ List []platform.Replica }

// Table names a table that all hosts share.
type Table string

// The tables that all hosts share.
const (
	TableMembers     Table = "members"
	TableGenerations Table = "generations"
	TableRumors      Table = "rumors"
	TableReplicas    Table = "replicas"
)
