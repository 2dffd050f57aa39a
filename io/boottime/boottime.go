// Package boottime reads the CLOCK_BOOTTIME clock, which keeps running while the machine is
// suspended. Leases, ages and read floors are measured with it, because Go's monotonic
// clock stops during a suspension and the wall clock can jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as an offset from the Unix epoch. The
// result can only be compared with other results from the same boot of the machine.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock, so the call only fails if a system call
		// filter blocks it.
		panic("boottime: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Unix())
}
