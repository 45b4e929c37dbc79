package main

import (
	"fmt"
	"io"
)

// printf writes to the command's output. An error is dropped: the reader has gone, and the exit code is the result.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
