package simulator

import (
	"bufio"
	"io"
)

const (
	initialLineBytes = 1 << 16
	maxLineBytes     = 64 << 20
)

// lineReader reads lines and counts them.
type lineReader struct {
	scanner *bufio.Scanner
	number  int // of the last line, from 1
}

func newLineReader(r io.Reader) lineReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return lineReader{scanner: scanner}
}

// next returns the next line, or io.EOF. Any other error is a *LineError.
func (l *lineReader) next() (string, error) {
	if !l.scanner.Scan() {
		if err := l.scanner.Err(); err != nil {
			return "", &LineError{Line: l.number + 1, Err: err}
		}
		return "", io.EOF
	}
	l.number++
	return l.scanner.Text(), nil
}

// fault returns a LineError for the last line.
func (l *lineReader) fault(err error) error { return &LineError{Line: l.number, Err: err} }
