package document

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxNesting is the maximum number of open brackets in a text, or of list indicators on a line. The parser takes memory in
// proportion to the square of both; a valid document has two levels.
const maxNesting = 64

// withoutComment returns a line without its comment. A line with a quote is returned whole: the comment may belong to a
// string that ends on the line.
func withoutComment(line []byte) []byte {
	if bytes.ContainsAny(line, "\"'") {
		return line
	}
	for i, c := range line {
		if c == '#' && (i == 0 || line[i-1] == ' ' || line[i-1] == '\t') {
			return line[:i]
		}
	}
	return line
}

// nesting returns the largest number of open brackets in a text, or of list and key indicators at the beginning of a line,
// whether they are in strings or not.
func nesting(b []byte) int {
	most, open := 0, 0
	for line := range bytes.FieldsFuncSeq(b, func(r rune) bool { return r == '\n' || r == '\r' }) {
		var n int
		n, open = lineNesting(withoutComment(line), open)
		most = max(most, n)
	}
	return most
}

// lineNesting is nesting for one line that begins with a number of open brackets. It also returns their number at its end.
func lineNesting(line []byte, open int) (most, left int) {
	indicators, begun := 0, false
	for _, c := range line {
		switch c {
		case ' ', '\t':
		case '-', '?', ':':
			if !begun {
				indicators++
			}
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
			begun = true
		default:
			begun = true
		}
		most = max(most, open, indicators)
	}
	return most, open
}

// checkShape reports unknown keys, values of the wrong type and YAML features that documents don't allow.
//
// The decoder alone reports Go types rather than keys, stops at the first error, truncates 1.5 to 1 for an integer,
// and ignores a second document in the same file.
func checkShape(b []byte) error {
	file, err := parser.ParseBytes(b, 0)
	if err != nil {
		return syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return &FieldError{"document", fmt.Sprintf("%d documents", countBodies(file)), "not one document", "one mapping of keys to values"}
	}
	p := &plainOnly{}
	ast.Walk(p, file.Docs[0].Body)
	if p.err != nil {
		return p.err
	}
	var v any
	if err := yaml.Unmarshal(b, &v); err != nil {
		return syntaxError(err)
	}
	c := &checker{}
	c.value("", v, reflect.TypeFor[Document]())
	return errors.Join(c.errs...)
}

func countBodies(file *ast.File) int {
	n := 0
	for _, doc := range file.Docs {
		if doc.Body != nil {
			n++
		}
	}
	return n
}

// syntaxError returns a one-line error with the position at which a file is neither YAML nor JSON.
func syntaxError(err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		return &FieldError{"document", "the file", err.Error(), "YAML or JSON"}
	}
	at := "the file"
	if t := y.GetToken(); t != nil && t.Position != nil {
		at = fmt.Sprintf("line %d, column %d", t.Position.Line, t.Position.Column)
	}
	return &FieldError{"document", at, y.GetMessage(), "YAML or JSON"}
}

// plainOnly rejects anchors, aliases and tags: a few lines of nested aliases can expand to more values than fit in
// memory.
type plainOnly struct{ err error }

// Visit implements ast.Visitor.
func (p *plainOnly) Visit(node ast.Node) ast.Visitor {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		at := node.GetToken().Position
		p.err = &FieldError{"document", fmt.Sprintf("line %d, column %d", at.Line, at.Column), "anchors, aliases and tags can't be used", "plain values"}
	}
	if p.err != nil {
		return nil
	}
	return p
}

// value checks a decoded value against the type of its field.
func (c *checker) value(key string, v any, t reflect.Type) {
	want := describeType(t)
	switch {
	case t == reflect.TypeFor[Duration]():
		s, ok := v.(string)
		if !ok {
			c.check(false, key, formatValue(v), "not a duration with a unit", want)
			return
		}
		_, err := time.ParseDuration(s)
		c.check(err == nil, key, formatValue(v), "not a duration with a unit", want)
	case t.Kind() == reflect.Struct:
		m, ok := v.(map[string]any)
		if !ok {
			c.check(false, orDocument(key), formatValue(v), "wrong type", want)
			return
		}
		c.keys(key, m, t)
	default:
		c.check(matchesKind(v, t.Kind()), key, formatValue(v), "wrong type", want)
	}
}

func (c *checker) keys(prefix string, m map[string]any, t reflect.Type) {
	fields := fieldsOf(t)
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		key := join(prefix, name)
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			c.check(false, key, formatValue(m[name]), "unknown key", "one of "+joinNames(fields))
			continue
		}
		c.value(key, m[name], fields[i].typ)
	}
}

// field is one key of a document.
type field struct {
	name string
	typ  reflect.Type
}

func fieldsOf(t reflect.Type) []field {
	list := make([]field, t.NumField())
	for i := range list {
		list[i] = field{name: t.Field(i).Tag.Get("yaml"), typ: t.Field(i).Type}
	}
	return list
}

func joinNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "a number with its unit, such as 60ms or 2s"
	case t.Kind() == reflect.Struct:
		return "a mapping of " + joinNames(fieldsOf(t))
	}
	switch t.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}

func matchesKind(v any, kind reflect.Kind) bool {
	switch v := v.(type) {
	case string:
		return kind == reflect.String
	case bool:
		return kind == reflect.Bool
	case float64:
		return kind == reflect.Float64
	case int64:
		return kind == reflect.Int || kind == reflect.Float64
	case uint64:
		return kind == reflect.Float64 || kind == reflect.Int && v <= 1<<62
	default:
		return false
	}
}

const maxShownBytes = 40

// formatValue formats a value as in the document, on one line and truncated to maxShownBytes.
func formatValue(v any) string {
	s := ""
	switch v := v.(type) {
	case nil:
		return "no value"
	case string:
		s = strconv.Quote(v)
	case map[string]any:
		return "a mapping"
	case []any:
		return "a list"
	default:
		s = fmt.Sprint(v)
	}
	if len(s) > maxShownBytes {
		s = s[:maxShownBytes] + "..."
	}
	return s
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func orDocument(key string) string {
	if key == "" {
		return "document"
	}
	return key
}
