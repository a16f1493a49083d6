// Package story finds what happened to one job or task in the log lines of many
// processes.
package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/logging"
)

const (
	// longGap is a silence in a story that is pointed out.
	longGap = time.Second
	// contextMargin is for how long before the first and after the last line about
	// the subject the lines of its context are shown. It is above the 4 s for which
	// a coordinator goes on after the store has last confirmed its term.
	contextMargin = 5 * time.Second
	// maxLineBytes bounds a log line.
	maxLineBytes = 1 << 20
)

// line is one log line with its time.
type line struct {
	at    time.Time
	text  string
	about bool   // about is set when the line is about the subject itself.
	call  bool   // call is set for calls of clients, which may come long after the end of a job.
	host  string // host is the one that a line about no job concerns; empty for all hosts.
	loss  bool   // loss is set when the line tells of a host that was lost or came back.
}

// Story collects the lines about one job or task. Times of different processes are
// compared as they are, so lines of processes whose clocks differ may swap.
type Story struct {
	job     string
	task    collection.Option[workload.TaskID] // task is none if all tasks of the job are meant.
	lines   []line
	hosts   collection.Set[string] // hosts are those that lines about the subject name, and those that wrote one.
	placed  bool                   // placed is set when a line about the subject names a host. Without one, the loss of any host matters.
	skipped int                    // skipped counts lines without a time.
}

// New returns an empty story of a job, or of a task if the name is that of a task.
func New(name string) *Story {
	s := &Story{job: name, hosts: collection.NewSet[string]()}
	if task, err := workload.ParseTaskID(name); err == nil {
		s.job, s.task = string(task.Job), collection.Some(task)
	}
	return s
}

// processEvents are the events that explain what happens to jobs although they
// name none.
var processEvents = collection.NewSet("term begun", "term ended", "term not begun", "leader removed", "store lost", "store regained", "append failed", "append done",
	"started", "stopping", "log lines dropped")

// lossEvents are such events on the loss of a host that the line names.
var lossEvents = collection.NewSet("host silent", "host answers", "minion gone", "leases lapsed")

// hostEvents are further ones that concern one host: the one that the line names,
// or the one on which the process runs.
var hostEvents = collection.NewSet("minion found", "agent found", "minion silent", "minion answers", "no minion listens", "minion state changed", "minion deregistered", "calls resumed", "call with a higher fencing token")

// Read takes the lines of a log that may tell something about the subject.
func (s *Story) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, relevant := s.parse(scanner.Text())
		if !relevant {
			continue
		}
		at, ok := timeOf(l.text)
		if !ok {
			s.skipped++
			continue
		}
		l.at, l.text = at, l.text[strings.Index(l.text, "time="):]
		s.lines = append(s.lines, l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// parse reports whether a line may belong to the story. It notes the hosts of lines
// about the subject.
func (s *Story) parse(text string) (line, bool) {
	value := func(key string) string { return string(logging.Value([]byte(text), key)) }
	event := value("event")
	switch {
	case s.isAbout(value):
		if value("job") == s.job {
			s.noteHosts(value)
		}
		return line{text: text, about: true, call: event == "call"}, true
	case lossEvents.Has(event):
		return line{text: text, host: hostName(value("host")), loss: true}, true
	case hostEvents.Has(event), processEvents.Has(event) && value("role") == "agent":
		host := hostName(value("host"))
		if host == "" {
			host = value("process")
		}
		return line{text: text, host: host}, true
	case processEvents.Has(event):
		return line{text: text}, true
	default:
		return line{}, false
	}
}

// noteHosts notes the hosts that a line about the subject names, and the process
// that wrote it.
func (s *Story) noteHosts(value func(key string) string) {
	s.hosts.Add(value("process"))
	for _, name := range append(strings.Split(value("hosts"), ","), value("host")) {
		if name != "" {
			s.hosts.Add(hostName(name))
			s.placed = true
		}
	}
}

// hostName returns the name of a host without the address that follows it in the
// names of members.
func hostName(member string) string {
	name, _, _ := strings.Cut(member, "@")
	return name
}

// isAbout reports whether a line with some values is about the subject.
func (s *Story) isAbout(value func(key string) string) bool {
	if value("job") != s.job {
		return value("for-job") == s.job
	}
	task, given := s.task.Get()
	if !given {
		return true
	}
	if named := value("task"); named != "" {
		return named == task.String()
	}
	if value("event") != "placed" {
		return true
	}
	return placesTask(value, task)
}

// placesTask reports whether a line on a placement may be about a task. The line
// names the first of the tasks that were placed.
func placesTask(value func(key string) string, task workload.TaskID) bool {
	number := func(key string) int {
		n, err := strconv.Atoi(value(key))
		if err != nil {
			return -1
		}
		return n
	}
	if number("occurrence") != task.Occurrence || number("step") != task.Step {
		return false
	}
	first := number("first-task")
	return first == task.Index || number("tasks") > 1 && first < task.Index
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

// matters reports whether a line that was read belongs to the story.
func (s *Story) matters(l line) bool {
	return l.host == "" || s.hosts.Has(l.host) || l.loss && !s.placed
}

// selected returns the lines of the story in the order of their times, and the time
// of the first one about the subject. Calls that come later than all other lines
// about it have no context.
func (s *Story) selected() ([]line, time.Time) {
	lines := slices.DeleteFunc(slices.Clone(s.lines), func(l line) bool { return !s.matters(l) })
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	first := slices.IndexFunc(lines, func(l line) bool { return l.about })
	if first < 0 {
		return nil, time.Time{}
	}
	begin, end := lines[first].at, lines[first].at
	for _, l := range lines {
		if l.about && !l.call {
			end = l.at
		}
	}
	lines = slices.DeleteFunc(lines, func(l line) bool {
		return !l.about && (begin.Sub(l.at) > contextMargin || l.at.Sub(end) > contextMargin)
	})
	return lines, begin
}

// Write prints the lines about the subject in the order of their times, with what
// happened around them, and to the hosts that they name. It reports false when no line is about the subject.
func (s *Story) Write(w io.Writer) (bool, error) {
	lines, begin := s.selected()
	if len(lines) == 0 {
		return false, nil
	}
	former := lines[0].at
	for _, l := range lines {
		if gap := l.at.Sub(former); gap > longGap {
			if _, err := fmt.Fprintf(w, "... %s without a line\n", gap.Round(time.Millisecond)); err != nil {
				return true, err
			}
		}
		former = l.at
		mark := "  "
		if !l.about {
			mark = "~ "
		}
		since, sign := l.at.Sub(begin).Round(time.Millisecond), "+"
		if since < 0 {
			sign = "" // The duration has its own.
		}
		if _, err := fmt.Fprintf(w, "%s%s%s %s\n", mark, sign, since, l.text); err != nil {
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
