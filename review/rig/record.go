package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run.
type recorder struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecorder() *recorder { return &recorder{start: time.Now()} }

// now returns the time since the start of the run.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
