// Package socket sets options of TCP sockets.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer that sets TCP_USER_TIMEOUT: the
// kernel closes a connection whose sent data is not acknowledged within the timeout.
func UserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		var optionErr error
		if err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		}); err != nil {
			return err
		}
		return optionErr
	}
}
