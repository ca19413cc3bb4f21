package coordinator

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that the process has used, or zero where it is not known.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
