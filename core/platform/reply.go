package platform

import (
	"encoding/json"
	"errors"
	"fmt"

	"guavaspring.org/core/feed"
	"guavaspring.org/core/jsonsplit"
)

// maxReplyElements is the maximum number of objects or rows in a reply. One of a byte takes many times its size in memory.
const maxReplyElements = 1 << 16

// objectReply is a reply with the object of a kind and name.
type objectReply struct {
	kind Kind
	name string
	obj  Object
}

// parse decodes a reply. An unreadable object is no error if its version is known, so that it can be replaced.
func (r *objectReply) parse(b []byte) error {
	r.obj = parseObject(r.kind, b)
	if r.obj.Unreadable != nil && (r.obj.Version <= 0 || !jsonsplit.Closed(b)) {
		return r.obj.Unreadable
	}
	if r.obj.Unreadable != nil {
		r.obj.Name = r.name
	}
	return nil
}

// objectsReply is a reply with objects of a kind. Other programs write objects too: one that can't be decoded must not
// affect the others.
type objectsReply struct {
	kind     Kind
	revision int64
	objects  []Object
	rejected []feed.Rejected
}

func (r *objectsReply) parse(b []byte) error {
	return parseList(b, "objects", &r.revision, func(raw []byte) {
		obj := parseObject(r.kind, raw)
		if obj.Unreadable != nil {
			r.rejected = append(r.rejected, feed.Rejected{Name: obj.Name, Revision: obj.Revision, Reason: obj.Unreadable})
		}
		if obj.Unreadable == nil || obj.Name != "" {
			r.objects = append(r.objects, obj)
		}
	})
}

// replicasReply is a reply with the replica list.
type replicasReply struct {
	rows     []Replica
	rejected []feed.Rejected
}

func (r *replicasReply) parse(b []byte) error {
	return parseList(b, "hosts", nil, func(raw []byte) {
		var row Replica
		if err := json.Unmarshal(raw, &row); err != nil {
			r.rejected = append(r.rejected, feed.Rejected{Name: member[string](raw, "id"), Reason: err})
			return
		}
		r.rows = append(r.rows, row)
	})
}

// parseList calls add with each undecoded element of the list in a reply, and decodes the reply's revision unless revision
// is nil.
func parseList(b []byte, list string, revision *int64, add func(raw []byte)) error {
	return jsonsplit.Members(b, func(name string, value []byte) error {
		var err error
		switch {
		case name == list:
			n := 0
			err = jsonsplit.Elements(value, func(raw []byte) error {
				if n++; n > maxReplyElements {
					return fmt.Errorf("the list has over %d elements", maxReplyElements)
				}
				add(raw)
				return nil
			})
		case name == "revision" && revision != nil:
			err = json.Unmarshal(value, revision)
		}
		if err != nil {
			return fmt.Errorf("field %q: %w", name, err)
		}
		return nil
	})
}

// parseObject decodes an object of a kind. An unreadable one has as much of its name and numbers as can be decoded.
func parseObject(kind Kind, raw []byte) Object {
	var obj Object
	err := json.Unmarshal(raw, &obj)
	if err == nil && string(raw) == "null" {
		err = errors.New("the object is null")
	}
	if err != nil {
		return Object{
			Kind: kind, Name: member[string](raw, "name"), Version: member[int64](raw, "version"), Revision: member[int64](raw, "revision"),
			Era: member[int64](raw, "era"), Unreadable: fmt.Errorf("platform: %w", err),
		}
	}
	return obj
}

// member returns the member of an object that can't be decoded as a whole, or the zero value if that is not found either.
func member[T any](raw []byte, name string) T {
	var found T
	// What was found before an error is all that can be found.
	_ = jsonsplit.Members(raw, func(other string, value []byte) error {
		if other != name {
			return nil
		}
		var decoded T
		if err := json.Unmarshal(value, &decoded); err != nil {
			return err
		}
		found = decoded
		return nil
	})
	return found
}
