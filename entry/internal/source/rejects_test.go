package source

import (
	"errors"
	"fmt"
	"testing"

	"github.com/go-logr/logr/funcr"

	qt "github.com/frankban/quicktest"

	"guavaspring.org/core/feed"
)

// Another writer leaves ten thousand entries that can't be read, and each list of the store shows them all again. The
// log must say so without being filled by it: a line for each of the first, one for the rest, and none for what was
// told already.
func TestRejectsAreToldOnce(t *testing.T) {
	lines, counted := 0, 0
	log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
	r := newRejects(log, "replicas", func(n int) { counted += n })
	list := make([]feed.Rejected, 1000)
	for i := range list {
		list[i] = feed.Rejected{Name: fmt.Sprintf("forged-%d", i), Revision: 5, Reason: errors.New("no address")}
	}
	for range 3 {
		r.report(list)
		qt.Assert(t, lines, qt.Equals, mostLines+1)
		qt.Assert(t, counted, qt.Equals, 1000)
	}
	list[7].Revision = 6
	r.report(list)
	qt.Assert(t, lines, qt.Equals, mostLines+2)
	qt.Assert(t, counted, qt.Equals, 1001)
	for i := range 10_000 {
		r.report([]feed.Rejected{{Name: fmt.Sprintf("other-%d", i), Revision: 5, Reason: errors.New("no address")}})
	}
	qt.Assert(t, len(r.known) <= mostKnown, qt.IsTrue)
}

// Guards against objects that can't be read and are never told of, since the store's revisions went back.
func TestRejectsOfALaterEraAreTold(t *testing.T) {
	lines := 0
	r := newRejects(funcr.New(func(string, string) { lines++ }, funcr.Options{}), "replicas", func(int) {})
	r.report([]feed.Rejected{{Name: "forged", Revision: 9, Reason: errors.New("no address")}})
	r.forget()
	r.report([]feed.Rejected{{Name: "forged", Revision: 7, Reason: errors.New("no slots")}})
	qt.Assert(t, lines, qt.Equals, 2)
}
