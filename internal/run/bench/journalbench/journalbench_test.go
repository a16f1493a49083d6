package journalbench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/bench/journalbench"
)

var full = flag.String("journalbench", "", "file for the JSON of a measurement with the default options")

// Guards against a measurement that folds nothing, and against records of the
// measurement that the fold refuses. With the flag -journalbench it is the
// command for the figures in docs/journal.md.
func TestRun(t *testing.T) {
	c := qt.New(t)
	o := journalbench.Default()
	var output bytes.Buffer
	o.Output = &output
	if *full == "" {
		o.Sizes, o.AuditSizes, o.Organisations = []int{30, 120}, []int{20}, []int{24}
		o.Hold = journalbench.Hold{RunningJobs: 30, EndedJobs: 30, Claims: 60, Organisations: 24}
		o.Writers, o.Duration = []journalbench.Writers{{Processes: 1}, {Processes: 3}, {Processes: 3, Relays: 1}}, 600*time.Millisecond
	}
	result, err := journalbench.Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	for _, f := range result.Folds {
		c.Assert(f.LogBytes > 0 && f.SnapshotBytes > 0 && f.Records > 0, qt.IsTrue, qt.Commentf("%+v", f))
	}
	c.Assert(result.Hold.SnapshotBytes > 0 && result.Hold.EncodeTime > 0 && result.Hold.WaitTime > 0, qt.IsTrue, qt.Commentf("%+v", result.Hold))
	m := result.Hold.Memory
	c.Assert(m.WriteTime > 0 && m.RestoreTime > 0 && m.RestoreBytes > 0, qt.IsTrue, qt.Commentf("%+v", m))
	for _, w := range result.Writers {
		c.Assert(w.Records > 0 && w.Failed == 0, qt.IsTrue, qt.Commentf("%+v", w))
	}
	var decoded map[string]any
	c.Assert(json.Unmarshal(output.Bytes(), &decoded), qt.IsNil)
	if *full != "" {
		c.Assert(os.WriteFile(*full, output.Bytes(), 0o600), qt.IsNil)
	}
}
