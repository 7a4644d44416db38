package peers

import (
	"guavaspring.org/entry/internal/digest"
	"guavaspring.org/entry/internal/member"
)

// Packet is what hosts send each other with every probe, reply and announcement.
type Packet struct {
	Member member.Message
	// Sums lets the receiver see that its tables differ from the sender's.
	Sums Sums
}

// Sums holds the digest of each table that all hosts share.
type Sums struct{ Members uint64 }

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
	Rows   Rows
}

// Rows holds rows of the table in question.
type Rows struct{ Members []member.Host }

// Table names a table that all hosts share.
type Table string

// TableMembers is the list of hosts.
const TableMembers Table = "members"
