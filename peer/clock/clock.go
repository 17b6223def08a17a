// Package clock reads the one clock that decides: it never goes back, no
// operator sets it, and it goes on while the machine sleeps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is how long the machine has been up, sleep included.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic("this machine has no clock that goes on while it sleeps: " + err.Error())
	}
	return time.Duration(at.Nano())
}

// Deadline is a moment for the libraries that read and write, which want one on
// their own clock. Nothing else goes by it.
func Deadline(within time.Duration) time.Time { return time.Now().Add(within) }

// TimeOfDay is the wall clock, for people who read logs. Nothing is decided by it: it
// may be set, and may differ from one machine to another.
func TimeOfDay() time.Time { return time.Now().UTC() }
