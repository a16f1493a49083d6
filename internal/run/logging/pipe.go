package logging

import (
	"os/signal"
	"syscall"
)

// IgnoreBrokenPipe keeps the process running when nobody reads its standard
// output any more. Without it the runtime ends a process that writes to such a pipe.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
