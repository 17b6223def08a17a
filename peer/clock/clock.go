// Package clock provides the only clock that decisions use. It is monotonic, cannot be
// set, and continues while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, including suspended time.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(at.Nano())
}

// Deadline returns the time after a duration, only for I/O deadlines of the standard library.
func Deadline(after time.Duration) time.Time { return time.Now().Add(after) }

// TimeOfDay returns the wall clock time in UTC, for log entries. Decisions must not depend
// on it: it may be set, and it differs between machines.
func TimeOfDay() time.Time { return time.Now().UTC() }
