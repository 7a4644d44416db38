package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the version that every program prints for --version.
const Version = "0.1.0"

// ExitUsage is the exit status of a program whose settings or arguments are wrong.
const ExitUsage = 2

// New returns a command line whose flags can also be set by environment variables named after the program and the flag, such as ENTRY_LISTEN.
func New(name, help string) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(Version)
	app.HelpFlag.Short('h')
	app.DefaultEnvars()
	app.UsageWriter(os.Stdout)
	return app
}

// Fail writes which setting is wrong to w and ends the process with ExitUsage.
func Fail(w io.Writer, program string, err error) {
	fmt.Fprintf(w, "%s: %v\n", program, err)
	os.Exit(ExitUsage)
}

// AddrPort registers a parser on clause for an "IP:port" setting; host names are errors, since processes talk by IP number.
func AddrPort(clause *kingpin.FlagClause) *netip.AddrPort {
	v := &addrPort{}
	clause.SetValue(v)
	return &v.ap
}

type addrPort struct{ ap netip.AddrPort }

func (v *addrPort) String() string {
	if !v.ap.IsValid() {
		return ""
	}
	return v.ap.String()
}

func (v *addrPort) Set(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not an IP number with a port, such as 127.0.0.1:7000", s)
	}
	v.ap = ap
	return nil
}

// AddrPorts registers a parser on clause for a comma-separated list of "IP:port" settings.
func AddrPorts(clause *kingpin.FlagClause) *[]netip.AddrPort {
	v := &addrPorts{}
	clause.SetValue(v)
	return &v.list
}

type addrPorts struct{ list []netip.AddrPort }

func (v *addrPorts) String() string {
	parts := make([]string, len(v.list))
	for i, ap := range v.list {
		parts[i] = ap.String()
	}
	return strings.Join(parts, ",")
}

func (v *addrPorts) Set(s string) error {
	for part := range strings.SplitSeq(s, ",") {
		one := addrPort{}
		if err := one.Set(strings.TrimSpace(part)); err != nil {
			return err
		}
		v.list = append(v.list, one.ap)
	}
	return nil
}
