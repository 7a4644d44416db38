package loglines

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// longest bounds one line; a line about a query over 100 shards has about 15 KB.
const longest = 1 << 20

// Files reads the logs at paths one after the other, each under the name of its file.
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

// Scan passes on each line that holds an object, from its first brace on, and what stands before that: collectors put a
// time or a host's name there. Other programs write to the same stream, so that an object may be cut off; take must not
// keep the slices.
func Scan(log io.Reader, take func(before, object []byte)) error {
	sc := bufio.NewScanner(log)
	sc.Buffer(nil, longest)
	for sc.Scan() {
		if brace := bytes.IndexByte(sc.Bytes(), '{'); brace >= 0 {
			take(sc.Bytes()[:brace], sc.Bytes()[brace:])
		}
	}
	return sc.Err()
}
