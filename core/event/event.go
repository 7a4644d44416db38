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

// Event is a kind of log line, registered by New.
type Event struct {
	// ID is the number that operators search for; its meaning never changes.
	ID int
	// Name is the short snake_case name of the event, which is logged with the number.
	Name string
	// Text describes in one sentence when the event is logged.
	Text string
}

var catalogue []Event

// New registers an event at package initialization; it panics if the number is already used, as it must identify one
// event.
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

// Catalogue returns all events registered in this process, ordered by number.
func Catalogue() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return a.ID - b.ID })
	return all
}

// Log writes the event through log with its number, its name and the given key-value pairs.
func (ev Event) Log(log logr.Logger, kv ...any) {
	log.Info(ev.Name, append([]any{"event", ev.ID}, kv...)...)
}

// NewLogger returns a logger that writes one JSON object per line to w, or to standard error if w is nil.
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
