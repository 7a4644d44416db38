package loglines

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// maxLineBytes is the maximum size of a line in bytes; the line of a query over 100 shards has about 15 KB.
const maxLineBytes = 1 << 20

// Files calls read for each log in turn, with the base name of its path.
func Files(paths []string, read func(name string, log io.Reader) error) error {
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		err = read(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// Scan calls take for each line that contains a JSON object, split at the first brace: log collectors prepend a time or
// the name of the host. An object may be truncated, as other programs write to the same stream. The slices are valid
// only during the call of take.
func Scan(log io.Reader, visit func(before, object []byte)) error {
	sc := bufio.NewScanner(log)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if brace := bytes.IndexByte(sc.Bytes(), '{'); brace >= 0 {
			visit(sc.Bytes()[:brace], sc.Bytes()[brace:])
		}
	}
	return sc.Err()
}
