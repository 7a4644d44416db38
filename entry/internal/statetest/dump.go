package statetest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"unsafe"
)

// Dump returns the state reachable from pointer v as text, unexported fields included, one value a line. It leaves out
// functions and channels, locks, and what an interface holds unless its type belongs to this repository. No goroutine
// may change the state meanwhile.
func Dump(v any) string {
	d := &dumper{seen: map[unsafe.Pointer]bool{}}
	d.value("", reflect.ValueOf(v))
	// The race detector takes a change for concurrent with this read unless a lock lies between them.
	for _, mu := range d.locks {
		mu.Lock()
		_ = d.seen
		mu.Unlock()
	}
	return d.out.String()
}

type dumper struct {
	out   strings.Builder
	seen  map[unsafe.Pointer]bool
	locks []*sync.Mutex
}

func (d *dumper) line(path string, v any) { fmt.Fprintf(&d.out, "%s = %v\n", path, v) }

func (d *dumper) value(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		d.pointer(path, v)
	case reflect.Interface:
		if v.IsNil() || ours(v.Elem().Type()) {
			d.value(path, v.Elem())
		}
	case reflect.Struct:
		d.structure(path, v)
	case reflect.Map:
		d.mapping(path, v)
	case reflect.Slice, reflect.Array:
		d.line(path+".len", v.Len())
		for i := range v.Len() {
			d.value(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer, reflect.Invalid:
		// No state that can be compared.
	default:
		d.line(path, v)
	}
}

func (d *dumper) pointer(path string, v reflect.Value) {
	if v.IsNil() {
		d.line(path, "nil")
		return
	}
	if d.seen[v.UnsafePointer()] && v.Elem().Kind() == reflect.Struct {
		d.line(path, "seen")
		return
	}
	d.seen[v.UnsafePointer()] = true
	d.value(path, v.Elem())
}

// ours reports whether a type, or what it points to, belongs to this repository.
func ours(t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return strings.HasPrefix(t.PkgPath(), "guavaspring.org/")
}

func (d *dumper) structure(path string, v reflect.Value) {
	switch t := v.Type(); {
	case t.PkgPath() == "time" && t.Name() == "Time":
		d.line(path, fmt.Sprint(v))
		return
	case t.PkgPath() == "sync/atomic" && strings.HasPrefix(t.Name(), "Pointer["):
		d.value(path, reachable(v).Addr().MethodByName("Load").Call(nil)[0])
		return
	case t.PkgPath() == "sync" && t.Name() == "Map":
		m := map[any]any{}
		reachable(v).Addr().Interface().(*sync.Map).Range(func(key, value any) bool {
			m[key] = value
			return true
		})
		d.mapping(path, reflect.ValueOf(m))
		return
	case t == reflect.TypeFor[sync.Mutex]() && v.CanAddr():
		d.locks = append(d.locks, reachable(v).Addr().Interface().(*sync.Mutex))
		return
	case t.PkgPath() == "sync", t.PkgPath() == "net", t.PkgPath() == "reflect":
		return
	}
	for i := range v.NumField() {
		d.value(path+"."+v.Type().Field(i).Name, v.Field(i))
	}
}

func (d *dumper) mapping(path string, v reflect.Value) {
	d.line(path+".len", v.Len())
	keys := v.MapKeys()
	name := func(k reflect.Value) string {
		if k.Kind() == reflect.Interface {
			k = k.Elem()
		}
		if k.Kind() == reflect.Pointer {
			return "pointer"
		}
		return fmt.Sprint(k)
	}
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(name(a), name(b)) })
	for _, k := range keys {
		d.value(path+"["+name(k)+"]", v.MapIndex(k))
	}
}

// reachable returns a field value without the restrictions on unexported fields.
func reachable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}
