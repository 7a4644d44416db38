// Command gsctl is the operator's tool: it checks and applies a service's document, and shows what the system reports.
package main

import (
	"fmt"
	"os"

	"guavaspring.org/core/document"
	"guavaspring.org/core/settings"
)

func main() {
	app := settings.New("gsctl", "Checks and applies the document of a service and shows what the system reports of it.")
	check := app.Command("check", "Check a document without applying it.")
	file := check.Arg("file", "The document.").Required().String()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		settings.Fail(os.Stderr, "gsctl", err)
	}
	b, err := os.ReadFile(*file)
	if err != nil {
		settings.Fail(os.Stderr, "gsctl", err)
	}
	doc, err := document.Parse(b)
	if err != nil {
		settings.Fail(os.Stderr, "gsctl", fmt.Errorf("%s: %w", *file, err))
	}
	fmt.Printf("%s: the document of %s is right\n", *file, doc.Service)
}
