package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// started is the time from which the record counts.
var started = time.Now()

// nowMs returns the Unix time in milliseconds. It never goes back.
func nowMs() float64 {
	return float64(started.UnixMicro())/1000 + float64(time.Since(started).Microseconds())/1000
}

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file)}, nil
}

// printf writes a line with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(started).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
