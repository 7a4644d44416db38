package ticket

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	formatVersion  = "t1"
	separator      = "."
	fieldCount     = 6
	maxTicketBytes = 256
)

// MaxLife is the longest lifetime of a ticket, and the longest that a document may configure.
const MaxLife = 10 * time.Minute

// Ticket is the right to run one write of one service at one incarnation of one host.
type Ticket struct {
	// Incarnation is the member.Host ID of the only process that may run the write.
	Incarnation string
	Service     string
	// Issued and Expires are times by the clock of the host that issued the ticket.
	Issued, Expires time.Time
	// Random makes the ticket unique.
	Random string
}

// Mint returns a new ticket for service at the incarnation, without a message to that host.
func Mint(incarnation, service string, now time.Time, life time.Duration) string {
	issued := now.UnixMilli()
	expires := now.Add(min(life, MaxLife)).UnixMilli()
	return strings.Join([]string{
		formatVersion, incarnation, service, strconv.FormatInt(issued, 10), strconv.FormatInt(expires, 10), rand.Text(),
	}, separator)
}

// Parse decodes a ticket from Mint; a write whose ticket it rejects never runs on any host.
func Parse(s string) (Ticket, error) {
	if s == "" {
		return Ticket{}, fmt.Errorf("a write needs a ticket from an address answer")
	}
	if len(s) > maxTicketBytes {
		return Ticket{}, fmt.Errorf("the ticket is %d bytes long; want at most %d", len(s), maxTicketBytes)
	}
	parts := strings.Split(s, separator)
	if len(parts) != fieldCount || parts[0] != formatVersion {
		return Ticket{}, fmt.Errorf("the ticket is not one that a host handed out")
	}
	issued, err1 := strconv.ParseInt(parts[3], 10, 64)
	expires, err2 := strconv.ParseInt(parts[4], 10, 64)
	if err1 != nil || err2 != nil || issued <= 0 || expires < issued || parts[1] == "" || parts[5] == "" {
		return Ticket{}, fmt.Errorf("the ticket is not one that a host handed out")
	}
	if expires-issued > MaxLife.Milliseconds() {
		return Ticket{}, fmt.Errorf("the ticket's life is over %s", MaxLife)
	}
	return Ticket{
		Incarnation: parts[1], Service: parts[2], Issued: time.UnixMilli(issued), Expires: time.UnixMilli(expires), Random: parts[5],
	}, nil
}
