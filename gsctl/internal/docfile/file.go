package docfile

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"guavaspring.org/core/document"
)

// basePrefix starts the comment line that names the version the file was taken from.
const basePrefix = "# base_version: "

// File is a document as an operator keeps it.
type File struct {
	// Path is where the file lies.
	Path string
	// Base is the version of the document that the operator's edit started from, zero where the file names none.
	Base int64
	// Document is the checked document with its defaults.
	Document document.Document
	text     []byte
}

// Read reads and checks the file at path.
func Read(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read document: %w", err)
	}
	base, text, err := splitBase(b)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	doc, err := document.Parse(text)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return File{Path: path, Base: base, Document: doc, text: text}, nil
}

func splitBase(b []byte) (int64, []byte, error) {
	line, rest, _ := bytes.Cut(b, []byte("\n"))
	value, ok := strings.CutPrefix(string(line), basePrefix)
	if !ok {
		return 0, b, nil
	}
	base, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || base < 0 {
		return 0, nil, fmt.Errorf("base_version: %q: not a version; want a whole number, as gsctl get writes it", value)
	}
	return base, rest, nil
}

// Proposal returns the document as JSON, with only the keys that the operator wrote.
func (f File) Proposal() ([]byte, error) {
	b, err := yaml.YAMLToJSON(f.text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	return bytes.TrimSpace(b), nil
}

// SetBase writes the file again with base as the version that the next edit starts from.
func (f File) SetBase(base int64) error {
	if err := os.WriteFile(f.Path, Format(base, f.text), 0o644); err != nil {
		return fmt.Errorf("note the new version: %w", err)
	}
	return nil
}

// Format returns text preceded by the line that names its base version.
func Format(base int64, text []byte) []byte {
	return append([]byte(basePrefix+strconv.FormatInt(base, 10)+"\n"), text...)
}
