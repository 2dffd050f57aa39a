// Package boottime reads the clock that goes on while the machine is suspended. Leases,
// ages and floors are measured by it, since the monotonic clock of the runtime stands
// still during a suspension and the time of day jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time after 1970. It is only
// comparable to other results on the same machine.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Each supported kernel has this clock, so the call fails only if it is filtered.
		panic("boottime: " + err.Error())
	}
	return time.Unix(t.Unix())
}
