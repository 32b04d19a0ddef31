package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the case's record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// now returns the milliseconds since the script began.
func (r *record) now() int64 {
	return time.Since(r.began).Milliseconds()
}

// note writes a line: the time in seconds, who, and what.
func (r *record) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %-10s  %s\n", float64(r.now())/1000, who, fmt.Sprintf(format, args...))
}

// say writes a line and also prints it.
func (r *record) say(who, format string, args ...any) {
	r.note(who, format, args...)
	fmt.Printf("%8.3f  %-10s  %s\n", float64(r.now())/1000, who, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
