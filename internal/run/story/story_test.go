package story_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/story"
)

const entry = `time=2026-01-06T12:00:00Z process=e1 level=info event=call method=submit job=aa outcome=accepted
time=2026-01-06T12:00:00.5Z process=e1 level=info event=call method=submit job=bb outcome=accepted
time=2026-01-06T12:00:09Z process=e1 level=info event=call method=status job=aa outcome=known state=done
time=2026-01-06T12:00:20Z process=e1 level=warn event="store lost"
`

const coordinator = `  3.1 e2 time=2026-01-06T12:00:02Z process=e2 level=info event="term begun" token=7
event=placed job=aa step=0
time=2026-01-06T12:00:02.1Z process=e2 level=info event=placed job=aa step=0
time=2026-01-06T12:00:02.2Z process=e2 level=info event="minion found" host=h
`

func TestStoryIsInOrderWithItsContext(t *testing.T) {
	c := qt.New(t)
	s := story.New("aa")
	c.Assert(s.Read(strings.NewReader(entry)), qt.IsNil)
	c.Assert(s.Read(strings.NewReader(coordinator)), qt.IsNil)
	var out strings.Builder
	found, err := s.Write(&out)
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.IsTrue)
	c.Check(out.String(), qt.Equals, `  +0s time=2026-01-06T12:00:00Z process=e1 level=info event=call method=submit job=aa outcome=accepted
... 2s without a line
~ +2s time=2026-01-06T12:00:02Z process=e2 level=info event="term begun" token=7
  +2.1s time=2026-01-06T12:00:02.1Z process=e2 level=info event=placed job=aa step=0
... 6.9s without a line
  +9s time=2026-01-06T12:00:09Z process=e1 level=info event=call method=status job=aa outcome=known state=done
1 lines without a time were passed over
`)
}

func TestUnknownJobHasNoStory(t *testing.T) {
	c := qt.New(t)
	s := story.New("a")
	c.Assert(s.Read(strings.NewReader(entry)), qt.IsNil)
	found, err := s.Write(&strings.Builder{})
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.IsFalse)
}
