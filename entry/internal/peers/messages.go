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

// Packet is the content of every probe and of every reply to one.
type Packet struct {
	Member member.Message
	Rumors []rumor.Rumor
	// Sums lets the receiver detect that its tables differ from the sender's.
	Sums Sums
}

// Sums holds the digest of each table shared by all hosts.
type Sums struct{ Members, Generations, Rumors, Replicas uint64 }

// News holds changes that a host sends to its neighbours at once instead of with the next probes.
type News struct {
	// From is the sender's address, from which the documents of Marks can be fetched.
	From   netip.AddrPort
	Marks  []accepted.Mark
	Rumors []rumor.Rumor
	// Hosts holds the rows of hosts that are stopping, of serving hosts that became unreachable, and of hosts that
	// refute a suspicion.
	Hosts []member.Host
	// Replicas holds changed rows of the platform's replica list.
	Replicas []listing.Row
}

// AskArgs asks another host to probe Target.
type AskArgs struct{ Target member.Host }

// AskReply reports whether Target answered.
type AskReply struct{ Reached bool }

// SumsArgs asks for the digests of the children of a prefix of one table.
type SumsArgs struct {
	Table  Table
	Prefix digest.Prefix
}

// SumsReply holds one digest for each child of the prefix.
type SumsReply struct{ Sums []digest.Sum }

// RowsArgs exchanges the rows below a prefix of one table.
type RowsArgs struct {
	Table  Table
	Prefix digest.Prefix
	// From is the sender's address, from which the documents of its marks can be fetched.
	From netip.AddrPort
	Rows Rows
}

// Rows holds rows of one table; the fields of the other tables are empty.
type Rows struct {
	Members []member.Host
	Marks   []accepted.Mark
	Rumors  []rumor.Rumor
	// Replicas holds rows of the platform's replica list.
	Replicas []listing.Row
}

// GenerationArgs asks for the accepted object of a service.
type GenerationArgs struct{ Service string }

// GenerationReply holds the encoded accepted object as it was recorded.
type GenerationReply struct{ Raw []byte }

// NumberReply holds the number of the generation in force, zero for none.
type NumberReply struct{ Number int64 }

// ReplicasArgs asks for the replica list that the host read last.
type ReplicasArgs struct{}

// ReplicasReply holds the replica list that the host read last.
type ReplicasReply struct{ List []platform.Replica }

// Table names a table shared by all hosts.
type Table string

// The tables shared by all hosts.
const (
	TableMembers     Table = "members"
	TableGenerations Table = "generations"
	TableRumors      Table = "rumors"
	TableReplicas    Table = "replicas"
)
