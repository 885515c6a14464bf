package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run.
type Record struct {
	began time.Time

	mu   sync.Mutex // guards the fields below
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates a record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add adds a line with the time and who did what.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// Close writes out what was added.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return r.file.Close()
}
