// Package socket sets options of TCP sockets.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// control sets options of a socket before it is used, for net.ListenConfig and net.Dialer.
type control = func(network, address string, c syscall.RawConn) error

// Buffers returns a control function for net.ListenConfig that bounds what may wait on each accepted
// connection, unread and unsent, in bytes. The kernel counts its own overhead too, up to as much again.
func Buffers(receiveBytes, sendBytes int) control {
	receive := setOption(unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	send := setOption(unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
	return func(network, address string, c syscall.RawConn) error {
		if err := receive(network, address, c); err != nil {
			return err
		}
		return send(network, address, c)
	}
}

// UserTimeout returns a control function for net.Dialer that sets TCP_USER_TIMEOUT: the
// kernel closes a connection whose sent data is not acknowledged within the timeout.
func UserTimeout(timeout time.Duration) control {
	return setOption(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

func setOption(level, option, value int) control {
	return func(network, address string, c syscall.RawConn) error {
		var optionErr error
		if err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), level, option, value)
		}); err != nil {
			return err
		}
		return optionErr
	}
}
