package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// journal is the record of a case: what was sent, answered and run, with the seconds
// since its begin.
type journal struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

func newJournal(folder string) (*journal, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &journal{begun: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// since returns the time since the begin.
func (j *journal) since() time.Duration { return time.Since(j.begun) }

// note writes a line to the record and to standard output.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", j.since().Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(j.text, line)
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.text.Flush()
	_ = j.file.Close()
}
