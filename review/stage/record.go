package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the case's record.txt: what was sent, answered and run, by whom and when.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	lines int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// since returns the time since the record began.
func (r *record) since() time.Duration { return time.Since(r.began) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
	r.lines++
}
