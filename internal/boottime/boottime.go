// Package boottime reads CLOCK_BOOTTIME (clock_gettime(2)), a monotonic clock that
// also counts the time while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Nanoseconds returns the time since the machine booted.
func Nanoseconds() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // Every supported kernel has this clock.
	}
	return ts.Nano()
}

// Now returns the reading of the clock as a time.Time. Its date has no meaning;
// only differences do, and they include suspended time.
func Now() time.Time { return time.Unix(0, Nanoseconds()) }
