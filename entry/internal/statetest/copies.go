package statetest

import (
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// maxDepth bounds how deep Fill follows pointers, which may lead back to where they begin.
const maxDepth = 4

// Fill sets every field of the struct that v points to, except those named, to a value other than zero, unexported
// fields included. Functions, channels and interfaces stay as they are.
func Fill(v any, except ...string) { fill(reflect.ValueOf(v).Elem(), 0, "", except) }

func fill(v reflect.Value, depth int, path string, except []string) {
	if slices.Contains(except, path) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fillStruct(v, depth, path, except)
	case reflect.Pointer:
		if depth < maxDepth {
			v.Set(reflect.New(v.Type().Elem()))
			fill(v.Elem(), depth+1, path, except)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1, path, except)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1, path, except)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1, path, except)
		fill(value, depth+1, path, except)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("x")
	case reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(3)
		}
		if v.CanUint() {
			v.SetUint(3)
		}
	}
}

func fillStruct(v reflect.Value, depth int, path string, except []string) {
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Unix(1_000_000, 0)))
		return
	case v.Type() == reflect.TypeFor[atomic.Bool]():
		// It holds a number, of which only 0 and 1 are valid.
		v.Addr().Interface().(*atomic.Bool).Store(true)
		return
	case v.Type().PkgPath() == "sync":
		return
	}
	for i := range v.NumField() {
		fill(reachable(v.Field(i)), depth, join(path, v.Type().Field(i).Name), except)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// CheckCopy fails the test for each field of a struct, filled by Fill, that differs in its copy or shares a pointer,
// map or slice with it. Fields of except are not compared, those of shared may share. A new field that is not
// copied fails the test, and so does one that Fill can't set and that except does not name.
func CheckCopy(t testing.TB, original, copied any, except, shared []string) {
	t.Helper()
	c := &checker{t: t, except: except, shared: shared}
	c.check("", reflect.ValueOf(original).Elem(), reflect.ValueOf(copied).Elem())
}

type checker struct {
	t              testing.TB
	except, shared []string
}

func (c *checker) check(path string, a, b reflect.Value) {
	c.t.Helper()
	t := a.Type()
	switch {
	case slices.Contains(c.except, path), t.PkgPath() == "sync":
		return
	case t.Kind() == reflect.Struct && t != reflect.TypeFor[time.Time]() && t.PkgPath() != "net/netip":
		for i := range a.NumField() {
			if name := t.Field(i).Name; name != "_" {
				c.check(join(path, name), reachable(a.Field(i)), reachable(b.Field(i)))
			}
		}
		return
	case a.IsZero():
		c.t.Errorf("%s is zero in the original: compare it in a test of its own, and name it as an exception", path)
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		c.t.Errorf("%s is not copied: %v, want %v", path, b, a)
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice:
		if a.UnsafePointer() == b.UnsafePointer() && !slices.Contains(c.shared, path) {
			c.t.Errorf("%s is shared between the original and the copy", path)
		}
	}
}
