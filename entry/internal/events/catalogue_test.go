package events_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/event"
	_ "guavaspring.org/entry/internal/events"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const path = "../../../docs/EVENTS.md"

func catalogue() string {
	var b strings.Builder
	b.WriteString(`# Events

Every log line of ` + "`entry`" + ` is a JSON object with the time ` + "`ts`" + `, the event's number ` + "`event`" + `, its name ` + "`msg`" + ` and further
fields of the event. Numbers never change their meaning. This page is generated from the code:
` + "`cd entry && go test ./internal/events -update`" + `.

| number | name | when it is written |
|---|---|---|
`)
	for _, ev := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", ev.ID, ev.Name, ev.Text)
	}
	return b.String()
}

// Guards against a page that differs from the code: operators look up the numbers of log lines on it, so it must list
// each event that the program can log and no other.
func TestCatalogueIsPublished(t *testing.T) {
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(catalogue()), 0o644), qt.IsNil)
	}
	b, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, catalogue(), qt.Commentf("run: cd entry && go test ./internal/events -update"))
}

// Guards against two events with one name, which a search of the log by name can't tell apart.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]int{}
	for _, ev := range event.Catalogue() {
		qt.Check(t, seen[ev.Name], qt.Equals, 0, qt.Commentf("%s is the name of %d too", ev.Name, ev.ID))
		seen[ev.Name] = ev.ID
	}
}
