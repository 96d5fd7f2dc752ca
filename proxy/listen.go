package proxy

// This file handles the clients' listener: bound here or inherited, when it starts to accept and when it stops. It
// must never close, for other processes, a listener that they share.

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// acceptTimeoutNs bounds an accept on a listener that was set to blocking mode.
const acceptTimeoutNs = 5e7

// listener accepts from when it is opened until it is stopped. nbio retries after every error of Accept, so the
// Accept of a stopped listener does not return.
type listener struct {
	net.Listener
	opened, stopped chan struct{}
	once            sync.Once
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, opened: make(chan struct{}), stopped: make(chan struct{})}
}

// InheritListener returns the platform's listener, given its file descriptor.
func InheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: invalid", fd)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("descriptor %d: not a TCP listener", fd)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	return l, raw.Control(func(fd uintptr) {
		// Blocking mode belongs to all that share the listener: whoever starts a further process may set it again.
		// A blocked accept then returns after this timeout, so that it does not accept a connection after the stop.
		wait := syscall.NsecToTimeval(acceptTimeoutNs)
		_ = syscall.SetsockoptTimeval(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait)
	})
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.opened:
	case <-l.stopped:
		select {}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.stopped:
			select {}
		default:
		}
	}
	return c, err
}

// stop ends accepting for this process only.
func (l *listener) stop() {
	l.once.Do(func() {
		close(l.stopped)
		go func() { _ = l.Close() }() // it waits for an accept in progress
	})
}
