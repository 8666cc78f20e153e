package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// maxRecordText bounds the length of a text in the record.
const maxRecordText = 160

// recorder writes what was sent, answered and run to a file, with times since its start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(folder string) (*recorder, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now()}, nil
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// brief cuts a text to maxRecordText.
func brief(text string) string {
	if len(text) <= maxRecordText {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxRecordText], len(text))
}
