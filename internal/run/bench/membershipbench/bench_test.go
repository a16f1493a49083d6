package membershipbench_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/bench/membershipbench"
)

// Guards against a measurement that stops while members do not know each other
// or that counts no traffic.
func TestFleetIsCompleteAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		point, err := membershipbench.MeasureFleet(t.Context(), 20, 30*time.Second, 10*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(point.Complete, qt.IsTrue)
		c.Assert(point.RequestsPerSecond >= 1, qt.IsTrue)
		c.Assert(point.MessagesPerSecond >= 4*0.99*point.RequestsPerSecond, qt.IsTrue)
	})
}

// Guards against an exchange over HTTP whose headers or costs are not counted.
func TestExchangeOverLoopbackIsCounted(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		c := qt.New(t)
		exchange, err := membershipbench.MeasureExchange(t.Context(), 50, fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(exchange.HeaderBytes > 100 && exchange.PayloadBytes > 100, qt.IsTrue)
	}
}

// BenchmarkCapacity prints the capacity report of the planned sizes.
func BenchmarkCapacity(b *testing.B) {
	for range b.N {
		report, err := membershipbench.Run(b.Context(), membershipbench.Default())
		qt.Assert(b, err, qt.IsNil)
		data, err := report.JSON()
		qt.Assert(b, err, qt.IsNil)
		b.Logf("%s", data)
	}
}
