package calibration_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/calibration"
)

// steps holds the run times of some steps of an organisation and how they were declared,
// as ratios that are taken in turn.
type steps struct {
	organisation string
	count        int
	actual       []time.Duration
	ratios       []float64 // ratios of the declared to the actual run time.
}

func (s steps) observe(t *calibration.Table) {
	for i := range s.count {
		actual := s.actual[i%len(s.actual)]
		t.Observe("q", s.organisation, time.Duration(float64(actual)*s.ratios[i%len(s.ratios)]), actual)
	}
}

// Replays queues whose declarations are off in different ways.
func TestRunTime(t *testing.T) {
	const s = time.Second
	equal, exact := []time.Duration{10 * s}, []float64{1}
	unequal := []time.Duration{2 * s, 4 * s, 8 * s, 16 * s, 32 * s}
	erratic := []float64{0.1, 1.9, 0.4, 1.5, 0.7, 1.2, 0.2}
	for name, tt := range map[string]struct {
		steps    []steps
		by       string // by is the organisation that declares 10 s.
		min, max time.Duration
	}{
		"unknown queue":                         {nil, "a", 10 * s, 10 * s},
		"right declarations":                    {[]steps{{"a", 40, unequal, exact}}, "a", 9 * s, 11 * s},
		"one odd step":                          {[]steps{{"a", 1, equal, []float64{0.1}}}, "a", 10 * s, 15 * s},
		"all declare half":                      {[]steps{{"a", 60, unequal, []float64{0.5}}}, "a", 16 * s, 22 * s},
		"declarations that say little":          {[]steps{{"a", 60, []time.Duration{3 * s}, erratic}}, "a", 2 * s, 6 * s},
		"no more than the bound":                {[]steps{{"a", 60, unequal, []float64{0.001}}}, "a", 50 * s, 100 * s},
		"organisation that declares short":      {[]steps{{"a", 60, equal, exact}, {"b", 30, []time.Duration{100 * s}, []float64{0.1}}}, "b", 30 * s, 100 * s},
		"an organisation that declares rightly": {[]steps{{"a", 60, equal, exact}, {"b", 10, []time.Duration{100 * s}, []float64{0.1}}}, "a", 9 * s, 20 * s},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := calibration.NewTable()
			for _, group := range tt.steps {
				group.observe(table)
			}
			got := table.RunTime("q", tt.by, 10*s)
			c.Check(got >= tt.min && got <= tt.max, qt.IsTrue, qt.Commentf("%s", got))
			c.Check(table.RunTime("other", tt.by, 10*s), qt.Equals, 10*s)
		})
	}
}

// Guards against an organisation that gets its work done sooner by a false declaration:
// the shorter it declares, the more of it is corrected.
func TestFalseDeclarationGainsLittle(t *testing.T) {
	c := qt.New(t)
	table := calibration.NewTable()
	steps{"honest", 60, []time.Duration{2 * time.Second, 8 * time.Second}, []float64{0.5, 1, 2}}.observe(table)
	steps{"false", 30, []time.Duration{2 * time.Second, 8 * time.Second}, []float64{0.1}}.observe(table)
	c.Check(table.RunTime("q", "false", 400*time.Millisecond) > 1500*time.Millisecond, qt.IsTrue)
}

func TestTimesThatSayNothingAreIgnored(t *testing.T) {
	c := qt.New(t)
	table := calibration.NewTable()
	table.Observe("q", "a", 0, time.Second)
	table.Observe("q", "a", time.Second, -1)
	table.Observe("q", "a", 1, math.MaxInt64)
	c.Check(table.RunTime("q", "a", 0), qt.Equals, time.Duration(0))
	c.Check(table.Summaries(), qt.HasLen, 1)
	c.Check(table.RunTime("q", "a", time.Second) <= 10*time.Second, qt.IsTrue)
}
