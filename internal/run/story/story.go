// Package story finds what happened to one job in the log lines of many
// processes.
package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// longGap is a silence in a story that is pointed out.
	longGap = time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// line is one log line with its time.
type line struct {
	at   time.Time
	text string
	job  bool // job is set when the line is about the job itself.
}

// Story collects the lines about one job. Times of different processes are
// compared as they are, so lines of processes whose clocks differ may swap.
type Story struct {
	mark    string // mark is what a line about the job contains.
	lines   []line
	skipped int // skipped counts lines without a time.
}

// New returns an empty story of a job.
func New(job string) *Story { return &Story{mark: "job=" + job + " "} }

// contextEvents are the events that explain what happens to jobs although they
// name none.
var contextEvents = []string{
	`event="term begun"`, `event="term ended"`, `event="store lost"`, `event="store regained"`, `event="append failed"`, `event="append done"`,
	`event="host silent"`, `event="host answers"`, `event="minion gone"`, `event="leases lapsed"`, `event=started`, `event=stopping`,
	`event="leader removed"`, `event="term not begun"`,
	`event="log lines dropped"`,
}

// Read takes the lines of a log that tell something about the job.
func (s *Story) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		about := strings.Contains(text+" ", s.mark)
		if !about && !explains(text) {
			continue
		}
		at, ok := timeOf(text)
		if !ok {
			s.skipped++
			continue
		}
		s.lines = append(s.lines, line{at, text[strings.Index(text, "time="):], about})
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func explains(text string) bool {
	return slices.ContainsFunc(contextEvents, func(e string) bool { return strings.Contains(text, e) })
}

func timeOf(text string) (time.Time, bool) {
	_, rest, found := strings.Cut(text, "time=")
	if !found {
		return time.Time{}, false
	}
	stamp, _, _ := strings.Cut(rest, " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	return at, err == nil
}

// Write prints the lines about the job in the order of their times, with what
// happened around them while the job was there. It reports false when no line
// is about the job.
func (s *Story) Write(w io.Writer) (bool, error) {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	first := slices.IndexFunc(s.lines, func(l line) bool { return l.job })
	if first < 0 {
		return false, nil
	}
	last := len(s.lines) - 1
	for !s.lines[last].job {
		last--
	}
	former := s.lines[first].at
	for _, l := range s.lines[first : last+1] {
		if gap := l.at.Sub(former); gap > longGap {
			if _, err := fmt.Fprintf(w, "... %s without a line\n", gap.Round(time.Millisecond)); err != nil {
				return true, err
			}
		}
		former = l.at
		mark := "  "
		if !l.job {
			mark = "~ "
		}
		if _, err := fmt.Fprintf(w, "%s+%s %s\n", mark, l.at.Sub(s.lines[first].at).Round(time.Millisecond), l.text); err != nil {
			return true, err
		}
	}
	if s.skipped > 0 {
		if _, err := fmt.Fprintf(w, "%d lines without a time were passed over\n", s.skipped); err != nil {
			return true, err
		}
	}
	return true, nil
}
