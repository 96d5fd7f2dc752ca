// Package tcp sets TCP socket options that the standard library does not offer.
package tcp

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout bounds how long sent bytes may stay unacknowledged before the connection fails. It does nothing to
// connections other than TCP.
func SetUserTimeout(conn net.Conn, limit time.Duration) {
	raw, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if control, err := raw.SyscallConn(); err == nil {
		_ = control.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
}
