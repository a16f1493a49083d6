package capacitybench

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// usage is what the process has used up to a moment.
type usage struct {
	at   time.Time
	cpu  time.Duration
	wire int64 // wire is the bytes that the counted listeners have read and written.
}

func (b *bytesCounter) usage() usage {
	return usage{at: time.Now(), cpu: processorTime(), wire: b.total.Load()}
}

// rates of a window between two usages.
type rates struct {
	cores          float64
	bytesPerSecond float64
}

func (u usage) until(end usage) rates {
	seconds := end.at.Sub(u.at).Seconds()
	return rates{
		cores:          (end.cpu - u.cpu).Seconds() / seconds,
		bytesPerSecond: float64(end.wire-u.wire) / seconds,
	}
}

// processorTime of this process. A failure of the call shows as no time, which
// no measurement can have.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the live bytes after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// bytesCounter counts the bytes of listeners.
type bytesCounter struct {
	total atomic.Int64
}

// wrap returns a listener whose connections are counted.
func (b *bytesCounter) wrap(l net.Listener) net.Listener { return countedListener{l, b} }

type countedListener struct {
	net.Listener
	counter *bytesCounter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *bytesCounter
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.total.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.total.Add(int64(n))
	return n, err
}
