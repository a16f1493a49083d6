// Package finding collects the problems of an input with their place, so that
// they are reported together instead of one at a time.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem in an input.
type Finding struct {
	File    string // File is the path as the user gave it; empty when there is none.
	Line    int    // Line is 1-based; 0 when the place in the file is not known.
	Key     string // Key is the full dotted key; empty when the problem concerns the whole file.
	Message string
}

// String formats the finding as file:line: key: message.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a collection of findings. It implements error; use Err to turn an
// empty list into a nil error.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Addf appends a finding with a formatted message.
func (l *List) Addf(file string, line int, key, format string, args ...any) {
	l.Add(Finding{File: file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// Merge appends all findings of other.
func (l *List) Merge(other *List) { l.findings = append(l.findings, other.findings...) }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// All returns the findings ordered by file, line and key.
func (l *List) All() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return sorted
}

// Error lists all findings, one a line.
func (l *List) Error() string {
	lines := make([]string, 0, len(l.findings))
	for _, f := range l.All() {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l *List) Err() error {
	if l.Len() == 0 {
		return nil
	}
	return l
}
