// Package boottime reads the clock that also counts the time for which the
// machine is suspended (CLOCK_BOOTTIME, clock_gettime(2)).
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Nanoseconds returns the time since the machine booted.
func Nanoseconds() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // Every supported kernel has the clock.
	}
	return ts.Nano()
}

// Now returns the reading as a time without meaning as a date. Differences of
// such times count suspensions.
func Now() time.Time { return time.Unix(0, Nanoseconds()) }
