package logging_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/run/logging"
)

// Guards against lines that repeat a state, and against lines below the level.
func TestLinesOnlyForChangesAtTheLevel(t *testing.T) {
	c := qt.New(t)
	var b strings.Builder
	logger, err := logging.New(&b, "info", "agent-1")
	c.Assert(err, qt.IsNil)
	c.Assert(level.Debug(logger).Log("a", 1), qt.IsNil)
	c.Assert(logger.Log("without", "level"), qt.IsNil)
	members := logging.NewChanges(logger, "member")
	c.Assert(members.Log("entry-1", "alive"), qt.IsTrue)
	c.Assert(members.Log("entry-1", "alive"), qt.IsFalse)
	c.Assert(members.Log("entry-1", "suspect", "by", "agent-1"), qt.IsTrue)
	members.Forget("entry-1")
	c.Assert(members.Log("entry-1", "alive"), qt.IsTrue)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	c.Assert(lines, qt.HasLen, 3)
	c.Assert(lines[1], qt.Matches, `time=\S+ process=agent-1 level=info member=entry-1 state=suspect former=alive by=agent-1`)
	_, err = logging.New(&b, "loud", "agent-1")
	c.Assert(err, qt.ErrorMatches, `log level "loud": .*`)
}
