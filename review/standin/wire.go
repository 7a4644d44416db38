package main

import (
	"embed"
	"fmt"
	"strings"
	"text/template"
)

// wire holds the platform's names and formats, so that a change of them touches no code.
//
//go:embed wire
var wire embed.FS

var wireNames = func() map[string]string {
	b, err := wire.ReadFile("wire/names.txt")
	if err != nil {
		panic(err)
	}
	names := map[string]string{}
	for line := range strings.SplitSeq(strings.TrimSpace(string(b)), "\n") {
		own, theirs, _ := strings.Cut(line, " ")
		names[own] = theirs
	}
	return names
}()

// word returns the platform's name for something.
func word(own string) string {
	name, ok := wireNames[own]
	if !ok {
		panic("no name for " + own)
	}
	return name
}

// field returns a line of a header.
func field(own, value string) string { return word(own) + ": " + value + "\r\n" }

var forms = template.Must(template.ParseFS(wire, "wire/*.toml", "wire/*.json"))

// form returns the text of one of the platform's formats.
func form(name string, data any) string {
	var b strings.Builder
	if err := forms.ExecuteTemplate(&b, name, data); err != nil {
		panic(fmt.Sprintf("%s: %v", name, err))
	}
	return b.String()
}
