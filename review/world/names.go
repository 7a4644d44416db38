package main

import (
	"embed"
	"strings"
)

// wire holds the names and messages of the platform's protocol, so that the code needs none of them.
//
//go:embed wire
var wire embed.FS

// file returns the content of a file of wire.
func file(name string) string {
	b, err := wire.ReadFile("wire/" + name)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// names holds the protocol's names by the words that the code uses.
var names = func() map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(file("names.txt")) {
		word, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		m[word] = name
	}
	return m
}()

// name returns the protocol's name for a word.
func name(word string) string {
	n, ok := names[word]
	if !ok {
		panic("no name for " + word)
	}
	return n
}

// fill returns a file of wire with words in capitals replaced.
func fill(file string, pairs ...string) string {
	return strings.TrimSpace(strings.NewReplacer(pairs...).Replace(file))
}
