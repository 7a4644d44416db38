package operator

import (
	"context"
	"errors"
	"fmt"
	"io"

	"guavaspring.org/core/platform"
)

// Status prints the status of one service, or of all if service is empty.
func (o *Operator) Status(ctx context.Context, service string) error {
	objs, _, err := o.opts.Platform.List(ctx, platform.KindStatus)
	if err != nil {
		return fmt.Errorf("read the status: %w", err)
	}
	if !o.show(objs, service) && service != "" {
		return fmt.Errorf("nothing is reported of %q yet", service)
	}
	return nil
}

// Watch prints the status of one service, or of all, and then every change until ctx is canceled.
func (o *Operator) Watch(ctx context.Context, service string) error {
	after := int64(0)
	for {
		objs, rev, err := o.opts.Platform.Watch(ctx, platform.KindStatus, after, watchWait)
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("watch the status: %w", err)
		}
		after = rev
		o.show(objs, service)
	}
}

// show prints the statuses of a service, or all, and reports whether there was one.
func (o *Operator) show(objs []platform.Object, service string) (shown bool) {
	for _, obj := range objs {
		if service != "" && obj.Name != service {
			continue
		}
		var st platform.Status
		if err := obj.Decode(&st); err != nil {
			// It is replaced with the next change; the others are shown all the same.
			fmt.Fprintf(o.opts.Out, "%s: the status is unreadable: %v\n", obj.Name, err)
			shown = true
			continue
		}
		printStatus(o.opts.Out, st)
		shown = true
	}
	return shown
}

func printStatus(w io.Writer, st platform.Status) {
	fmt.Fprintf(w, "%s: generation %d in force on %d of %d hosts asked\n", st.Service, st.Generation, st.Hosts.InForce, st.Hosts.Asked)
	if st.Refused != "" {
		fmt.Fprintf(w, "  version %d refused: %s\n", st.Proposed, st.Refused)
	}
	fmt.Fprintf(w, "  hosts: %d alive, %d suspect, %d leaving\n", st.Hosts.Alive, st.Hosts.Suspect, st.Hosts.Leaving)
	fmt.Fprintf(w, "  replicas: %d known, %d draining\n", st.Replicas.Known, st.Replicas.Draining)
	for _, v := range st.Versions {
		fmt.Fprintf(w, "  index version %d: %d of %d shards held, %d replicas of the thinnest\n", v.Version, v.Held, v.Shards, v.Least)
	}
}
