package fakes

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenWindow listens on a TCP address with a receive buffer, bytes; 0 for the system's. With a small
// one, a connection whose data is not read closes its window soon. A buffer that is made smaller after
// a connection was accepted drops data that the window had allowed, which looks like a dead host.
func ListenWindow(address string, receiveBytes int) (net.Listener, error) {
	if receiveBytes == 0 {
		return net.Listen("tcp", address)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		if err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		}); err != nil {
			return err
		}
		return optErr
	}}
	return config.Listen(context.Background(), "tcp", address)
}
