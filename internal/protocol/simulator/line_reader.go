package simulator

import (
	"bufio"
	"io"
)

const (
	initialLineBytes = 1 << 16
	maxLineBytes     = 64 << 20
)

// lineReader reads lines and counts them, so that errors can be reported with a line number.
type lineReader struct {
	scanner *bufio.Scanner
	number  int // the number of the line read last, counted from 1
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

// wrapError returns a *LineError for the line read last.
func (l *lineReader) wrapError(err error) error { return &LineError{Line: l.number, Err: err} }
