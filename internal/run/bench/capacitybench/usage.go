package capacitybench

import (
	"net"
	"sync/atomic"
	"time"

	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/run/bench/usage"
)

// reading is what the process has used up to a moment.
type reading struct {
	at   time.Time
	cpu  time.Duration
	wire int64 // wire is the bytes that the counted listeners have read and written.
}

func (b *bytesCounter) read() reading {
	return reading{at: time.Now(), cpu: usage.ProcessorTime(), wire: b.total.Load()}
}

// rates of a window between two readings.
type rates struct {
	cores          float64
	bytesPerSecond float64
}

func (r reading) until(end reading) rates {
	seconds := end.at.Sub(r.at).Seconds()
	return rates{
		cores:          (end.cpu - r.cpu).Seconds() / seconds,
		bytesPerSecond: float64(end.wire-r.wire) / seconds,
	}
}

// bytesCounter counts the bytes of listeners.
type bytesCounter struct {
	total atomic.Int64
}

// wrap returns a listener whose connections are counted.
func (b *bytesCounter) wrap(l net.Listener) net.Listener {
	return transport.CountListener(l, &b.total, &b.total)
}
