package limitedlog_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/limitedlog"
)

// Guards against a warning without bound, and against one that is never seen.
func TestOneWarningInAnInterval(t *testing.T) {
	c := qt.New(t)
	var lines bytes.Buffer
	l := limitedlog.New(log.NewLogfmtLogger(&lines))
	for i := range 1000 {
		l.Warn("event", "odd", "number", i)
	}
	c.Check(lines.String(), qt.Equals, "level=warn event=odd number=0 suppressed=0\n")
}
