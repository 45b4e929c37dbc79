package main

import (
	"fmt"
	"io"
)

// printf writes to the command's output. An error, which means that the reader has closed the output, is ignored: the exit
// code still gives the result.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
