package event

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one catalogued kind of log line, registered by New.
type Event struct {
	// ID is the number that operators search for; it never changes its meaning.
	ID int
	// Name is the short snake_case name written beside the number.
	Name string
	// Text says in one sentence when the line is written.
	Text string
}

var catalogue []Event

// New registers an event at package initialization; it panics on a number used twice, since the catalogue would lie.
func New(id int, name, text string) Event {
	ev := Event{ID: id, Name: name, Text: text}
	for _, other := range catalogue {
		if other.ID == id {
			panic(fmt.Sprintf("event: number %d is used by %q and %q", id, other.Name, name))
		}
	}
	catalogue = append(catalogue, ev)
	return ev
}

// Catalogue returns every event registered in this process, ordered by number.
func Catalogue() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return a.ID - b.ID })
	return all
}

// Log writes the event through log with its number, its name and the given key-value pairs.
func (ev Event) Log(log logr.Logger, kv ...any) {
	log.Info(ev.Name, append([]any{"event", ev.ID}, kv...)...)
}

// NewLogger returns a logger that writes one JSON object a line to w, or to standard error where w is nil.
func NewLogger(w io.Writer) logr.Logger {
	if w == nil {
		w = os.Stderr
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.LevelKey = zapcore.OmitKey
	cfg.CallerKey = zapcore.OmitKey
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zapr.NewLogger(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, zapcore.InfoLevel)))
}
