package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the version that every program prints for --version.
const Version = "0.1.0"

// ExitUsage is the exit status of a program with invalid settings or arguments.
const ExitUsage = 2

// New returns a command line parser whose flags can also be set by environment variables named after the program and
// the flag, such as ENTRY_LISTEN.
func New(name, help string) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(Version)
	app.HelpFlag.Short('h')
	app.DefaultEnvars()
	app.UsageWriter(os.Stdout)
	return app
}

// Fail writes the error to w, prefixed with the program name, and ends the process with ExitUsage.
func Fail(w io.Writer, program string, err error) {
	fmt.Fprintf(w, "%s: %v\n", program, err)
	os.Exit(ExitUsage)
}

// AddrPort registers a parser on clause for an "IP:port" setting. Host names are errors, as processes connect by IP
// address.
func AddrPort(clause *kingpin.FlagClause) *netip.AddrPort {
	v := &addrPort{clause: clause}
	clause.SetValue(v)
	return &v.ap
}

type addrPort struct {
	clause *kingpin.FlagClause
	ap     netip.AddrPort
}

func (v *addrPort) String() string {
	if !v.ap.IsValid() {
		return ""
	}
	return v.ap.String()
}

func (v *addrPort) Set(s string) error {
	ap, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return invalidSetting(v.clause, s, "is not an IP number with a port, such as 127.0.0.1:7000")
	case ap.Addr().IsUnspecified():
		return invalidSetting(v.clause, s, "is not the address of one host; other processes connect to this address")
	case ap.Port() == 0:
		return invalidSetting(v.clause, s, "has no port; other processes connect to this address")
	}
	v.ap = ap
	return nil
}

// AddrPorts registers a parser on clause for a comma-separated list of "IP:port" settings.
func AddrPorts(clause *kingpin.FlagClause) *[]netip.AddrPort {
	v := &addrPorts{clause: clause}
	clause.SetValue(v)
	return &v.list
}

type addrPorts struct {
	clause *kingpin.FlagClause
	list   []netip.AddrPort
}

func (v *addrPorts) String() string {
	parts := make([]string, len(v.list))
	for i, ap := range v.list {
		parts[i] = ap.String()
	}
	return strings.Join(parts, ",")
}

func (v *addrPorts) Set(s string) error {
	for part := range strings.SplitSeq(s, ",") {
		one := addrPort{clause: v.clause}
		if err := one.Set(strings.TrimSpace(part)); err != nil {
			return err
		}
		v.list = append(v.list, one.ap)
	}
	return nil
}

var validName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Name registers a parser on clause for a name, such as that of an availability zone.
func Name(clause *kingpin.FlagClause) *string {
	v := &name{clause: clause}
	clause.SetValue(v)
	return &v.s
}

type name struct {
	clause *kingpin.FlagClause
	s      string
}

func (v *name) String() string { return v.s }

func (v *name) Set(s string) error {
	if !validName.MatchString(s) {
		return invalidSetting(v.clause, s, "is not a name; want lower-case letters, digits and hyphens, starting with a letter, at most 63")
	}
	v.s = s
	return nil
}

// invalidSetting returns an error with the names of the flag and environment variable, which kingpin omits for invalid
// values.
func invalidSetting(clause *kingpin.FlagClause, value, why string) error {
	model := clause.Model()
	return fmt.Errorf("--%s (or %s): %q %s", model.Name, model.Envar, value, why)
}
