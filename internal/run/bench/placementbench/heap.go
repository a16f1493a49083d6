package placementbench

import "runtime"

// heapInUse returns the bytes of live objects after a collection.
func heapInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
