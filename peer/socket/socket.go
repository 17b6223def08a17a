// Package socket sets what connections need of the kernel.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout makes a connection break when what was sent is not acknowledged
// within a time, as behind a cut.
func UserTimeout(within time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
		}); err != nil {
			return err
		}
		return failed
	}
}
