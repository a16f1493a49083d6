package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	median     = 50
	percentile = 99
)

// report writes the table, the checks and the tail of the audit trail.
func (s *scene) report(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := printer{w: t}
	p.line("Deployment %s: %d entries, %d agents with minions, %d workers, policy %s.", s.options.Deployment.Name,
		len(s.cluster.Entries), len(s.cluster.Minions), len(s.cluster.Workers), s.options.Deployment.Policy)
	p.line("")
	s.writeTallies(&p)
	p.line("")
	p.line("Fragmentation: %.3f (mean of %d samples)", mean(s.fragmentation), len(s.fragmentation))
	p.line("")
	broken := s.writeChecks(&p)
	p.line("")
	s.writeAudit(&p)
	if p.err == nil {
		p.err = t.Flush()
	}
	if p.err != nil {
		return fmt.Errorf("write report: %w", p.err)
	}
	if broken > 0 {
		return ErrPromiseBroken
	}
	return nil
}

// printer keeps the first error of many writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (s *scene) writeTallies(p *printer) {
	p.line("KIND\tSUBMITTED\tDONE\tFAILED\tREFUSED\tUNKNOWN\tLATE\tMEDIAN\tP99")
	for _, kind := range slices.Sorted(maps.Keys(s.record.tallies)) {
		t := s.record.tallies[kind]
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s", kind, t.submitted, t.done, t.failed, t.refused, t.unknown, t.late,
			millis(t.times.ValueAtQuantile(median)), millis(t.times.ValueAtQuantile(percentile)))
	}
	for _, o := range s.firstReasons() {
		p.line("  %s", o)
	}
}

// firstReasons lists one reason for each kind and outcome other than done.
func (s *scene) firstReasons() []string {
	seen := map[string]bool{}
	var lines []string
	for _, o := range s.record.all() {
		key := o.kind + " " + o.result
		if o.result == "done" || seen[key] {
			continue
		}
		seen[key] = true
		lines = append(lines, fmt.Sprintf("%s %s, for example: %s", o.kind, o.result, o.reason))
	}
	slices.Sort(lines)
	return lines
}

func (s *scene) writeChecks(p *printer) int {
	broken := 0
	p.line("PROMISE\tHELD\tDETAIL")
	for _, c := range s.checks {
		held := "yes"
		if !c.held {
			held = "NO"
			broken++
		}
		p.line("%s\t%s\t%s", c.promise, held, c.detail)
	}
	return broken
}

func (s *scene) writeAudit(p *printer) {
	p.line("AUDIT TRAIL\tACTOR\tACTION\tSUBJECT\tREASON")
	for _, a := range s.audit {
		p.line("%s\t%s\t%s\t%s\t%s", a.Time.Format("15:04:05.000"), a.Actor, a.Action, a.Subject, a.Reason)
	}
}

func millis(n int64) string {
	return (time.Duration(n) * time.Millisecond).String()
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
