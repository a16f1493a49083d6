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

func TestStoryOfATask(t *testing.T) {
	c := qt.New(t)
	const logs = `time=2026-01-06T12:00:00Z process=front-1 level=info event="job received" job=aa
time=2026-01-06T12:00:00.1Z process=front-1 level=info event=placed job=aa occurrence=0 step=0 tasks=1 run=1 first-task=3 hosts=side-3@10.0.0.3
time=2026-01-06T12:00:00.1Z process=front-1 level=info event=placed job=aa occurrence=0 step=0 tasks=1 run=1 first-task=4 hosts=side-4@10.0.0.4
time=2026-01-06T12:00:00.1Z process=front-1 level=info event=placed job=aa occurrence=0 step=1 tasks=1 run=1 first-task=3 hosts=side-5@10.0.0.5
time=2026-01-06T12:00:00.2Z process=side-3 level=info event=start job=aa task=aa.0.0.3 run=1
time=2026-01-06T12:00:00.2Z process=side-4 level=info event=start job=aa task=aa.0.0.4 run=1
time=2026-01-06T12:00:00.3Z process=side-4 level=warn event="minion silent" last-answer=1s
time=2026-01-06T12:00:00.3Z process=side-3 level=warn event="minion silent" last-answer=1s
time=2026-01-06T12:00:00.4Z process=front-1 level=warn event="host silent" host=side-3@10.0.0.3
time=2026-01-06T12:00:00.4Z process=front-1 level=warn event="host silent" host=side-5@10.0.0.5
time=2026-01-06T12:00:00.5Z process=side-5 level=info event=started role=agent
time=2026-01-06T12:00:00.5Z process=front-2 level=info event=started role=entry
time=2026-01-06T12:00:00.6Z process=front-1 level=info event="run ended" job=aa task=aa.0.0.4 run=1
time=2026-01-06T12:00:00.7Z process=front-1 level=info event=stop job=bb task=bb.0.0.1 run=1 for-job=aa for-rank=guaranteed
`
	for name, want := range map[string][]string{
		"aa.0.0.3": {"job received", "first-task=3", "task=aa.0.0.3", "process=side-3 level=warn", "host=side-3", "role=entry", "for-job=aa"},
		"aa.0.0.4": {"job received", "first-task=4", "task=aa.0.0.4", "process=side-4 level=warn", "role=entry", "run ended", "for-job=aa"},
	} {
		s := story.New(name)
		c.Assert(s.Read(strings.NewReader(logs)), qt.IsNil)
		var out strings.Builder
		found, err := s.Write(&out)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		c.Assert(lines, qt.HasLen, len(want), qt.Commentf("%s", out.String()))
		for i, part := range want {
			c.Check(lines[i], qt.Contains, part)
		}
	}
}
