package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"guavaspring.org/core/caller"
	"guavaspring.org/core/platform"
	"guavaspring.org/gsctl/internal/docfile"
)

// Options configures an Operator.
type Options struct {
	// Platform is the client of the platform's object API.
	Platform *platform.Client
	// Out receives the output of the commands.
	Out io.Writer
}

// Operator runs the commands of gsctl.
type Operator struct{ opts Options }

// New returns an Operator; both options must be set.
func New(opts Options) *Operator { return &Operator{opts: opts} }

// ConflictError reports that an edit was rejected because the stored document is not at the edit's base version.
type ConflictError struct {
	Path    string
	Service string
	Base    int64
	Current int64
}

// Error names both versions and the next step for the operator.
func (e *ConflictError) Error() string {
	if e.Base == 0 {
		return fmt.Sprintf("%s: refused: the document of %s exists at version %d and the file names no base_version; take it with gsctl get, and edit that",
			e.Path, e.Service, e.Current)
	}
	return fmt.Sprintf("%s: refused: the edit started from version %d of %s, and somebody has changed it to version %d since; take that with gsctl get, and edit it again",
		e.Path, e.Base, e.Service, e.Current)
}

// Check reads and validates a document.
func (o *Operator) Check(path string) error {
	f, err := docfile.Read(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.opts.Out, "%s: the document of %s is right\n", path, f.Document.Service)
	return nil
}

// Apply proposes the document at path if the stored document is still at the version that the file was taken from.
//
// Without this condition, two teams that edit a document at the same time would silently overwrite each other's change.
// The platform's conditional update accepts exactly one of the two edits.
func (o *Operator) Apply(ctx context.Context, path string) error {
	f, err := docfile.Read(path)
	if err != nil {
		return err
	}
	body, err := f.Proposal()
	if err != nil {
		return err
	}
	name := f.Document.Service
	obj, err := o.opts.Platform.Put(ctx, platform.KindDocument, name, f.Base, body)
	if errors.Is(err, platform.ErrConflict) {
		return o.conflictError(ctx, f)
	}
	if err != nil {
		return fmt.Errorf("propose the document of %s: %w", name, err)
	}
	fmt.Fprintf(o.opts.Out, "%s: version %d of %s proposed\n", path, obj.Version, name)
	return f.SetBase(obj.Version)
}

func (o *Operator) conflictError(ctx context.Context, f docfile.File) error {
	now, err := o.opts.Platform.Get(ctx, platform.KindDocument, f.Document.Service)
	if err != nil {
		return fmt.Errorf("refused, and the current version can't be read: %w", err)
	}
	return &ConflictError{Path: f.Path, Service: f.Document.Service, Base: f.Base, Current: now.Version}
}

// Get prints the document of a service with its version, ready to be edited and passed to Apply.
func (o *Operator) Get(ctx context.Context, service string) error {
	obj, err := o.opts.Platform.Get(ctx, platform.KindDocument, service)
	if err != nil {
		return fmt.Errorf("read the document of %s: %w", service, err)
	}
	if obj.Unreadable != nil {
		return fmt.Errorf("the document of %s at version %d: %w", service, obj.Version, obj.Unreadable)
	}
	text, err := yaml.JSONToYAML(obj.Body)
	if err != nil {
		return fmt.Errorf("the document of %s at version %d: %w", service, obj.Version, err)
	}
	if _, err := o.opts.Out.Write(docfile.Format(obj.Version, text)); err != nil {
		return fmt.Errorf("print the document of %s: %w", service, err)
	}
	return nil
}

// watchWait is the maximum wait of one watch request to the platform, which counts as one call.
const watchWait = 10 * time.Second

// Explain prints the decisions that led to a response, read from the host that sent it.
func (o *Operator) Explain(ctx context.Context, id string) error {
	host, err := caller.ExplanationHost(id)
	if err != nil {
		return err
	}
	c, err := caller.New("gsctl", 1)
	if err != nil {
		return err
	}
	var rec record
	if err := c.Get(ctx, caller.Request{Host: host}, "/v1/explanations/"+id, &rec); err != nil {
		return fmt.Errorf("explain %s: %w", id, err)
	}
	rec.print(o.opts.Out, host)
	return nil
}

type record struct {
	RequestID string     `json:"request_id"`
	Service   string     `json:"service"`
	Caller    string     `json:"caller"`
	TookMS    float64    `json:"took_ms"`
	Outcome   string     `json:"outcome"`
	Reason    string     `json:"reason"`
	Decisions []decision `json:"decisions"`
}

type decision struct {
	AtMS    float64 `json:"at_ms"`
	What    string  `json:"what"`
	Shard   int     `json:"shard"`
	Replica string  `json:"replica"`
	Why     string  `json:"why"`
}

func (rec record) print(w io.Writer, host netip.AddrPort) {
	fmt.Fprintf(w, "request %s of caller %s to %s, answered by host %s\n", rec.RequestID, rec.Caller, rec.Service, host)
	fmt.Fprintf(w, "outcome %s after %.1f ms", rec.Outcome, rec.TookMS)
	if rec.Reason != "" {
		fmt.Fprintf(w, ": %s", rec.Reason)
	}
	fmt.Fprintln(w)
	for _, d := range rec.Decisions {
		fmt.Fprintf(w, "%8.1f ms  %-8s", d.AtMS, d.What)
		if d.Shard >= 0 {
			fmt.Fprintf(w, " shard %d", d.Shard)
		}
		if d.Replica != "" {
			fmt.Fprintf(w, " at %s", d.Replica)
		}
		if d.Why != "" {
			fmt.Fprintf(w, ": %s", d.Why)
		}
		fmt.Fprintln(w)
	}
}
