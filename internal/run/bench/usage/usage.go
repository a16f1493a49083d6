// Package usage reads what this process uses of the processor and of memory,
// for measurements.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the user and system time of this process, with that of
// the garbage collector. A failure of the call shows as no time, which no
// measurement can have.
func ProcessorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Heap returns the bytes of live objects. It collects twice, because the first
// collection only moves what pools keep to their second generation.
func Heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
