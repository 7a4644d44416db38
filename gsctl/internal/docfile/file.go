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

// basePrefix is the prefix of the comment line with the version that the file was taken from.
const basePrefix = "# base_version: "

// File is a document file edited by an operator.
type File struct {
	// Path is the path of the file.
	Path string
	// Base is the version of the document that the edit is based on, zero if the file names none.
	Base int64
	// Document is the validated document with defaults filled in.
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

// Proposal returns the document as JSON, without defaults for keys that the file omits.
func (f File) Proposal() ([]byte, error) {
	b, err := yaml.YAMLToJSON(f.text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	return bytes.TrimSpace(b), nil
}

// SetBase rewrites the file with base as the version that the next edit is based on.
func (f File) SetBase(base int64) error {
	if err := os.WriteFile(f.Path, Format(base, f.text), 0o644); err != nil {
		return fmt.Errorf("write base_version: %w", err)
	}
	return nil
}

// Format prepends the line with the base version to text.
func Format(base int64, text []byte) []byte {
	return append([]byte(basePrefix+strconv.FormatInt(base, 10)+"\n"), text...)
}
