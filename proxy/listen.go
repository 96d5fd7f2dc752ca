package proxy

// This file owns the clients' listener: bound here or inherited, when it begins to accept and when it stops. It must
// never close a listener that another process shares for that process.

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

const acceptWait = 5e7 // an accept on a listener that was made to block takes no longer

// listener accepts from when it is opened until it is stopped. nbio tries again after every error of Accept, so one that
// has stopped does not come back.
type listener struct {
	net.Listener
	opened, stopped chan struct{}
	once            sync.Once
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, opened: make(chan struct{}), stopped: make(chan struct{})}
}

// Inherit takes the listener that the platform holds, by its descriptor.
func Inherit(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d: none", fd)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("descriptor %d: no listener of TCP", fd)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	return l, raw.Control(func(fd uintptr) {
		// Whether it blocks belongs to all who share it: who starts a further process may make it block again. An accept that
		// is caught in there comes back by this time, and is not left to take a connection after the stop.
		wait := syscall.NsecToTimeval(acceptWait)
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

// stop ends accepting for this process alone.
func (l *listener) stop() {
	l.once.Do(func() {
		close(l.stopped)
		go func() { _ = l.Close() }() // it waits for an accept that is under way
	})
}
