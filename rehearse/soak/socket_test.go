package soak

import "golang.org/x/sys/unix"

// peerHasClosed reports whether the other end of a socket is closed. It consumes no data.
func peerHasClosed(fd int) bool {
	buffer := make([]byte, 1)
	size, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return size == 0 && err == nil || err != nil && err != unix.EAGAIN
}
