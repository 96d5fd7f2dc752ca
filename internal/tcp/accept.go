package tcp

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the pause after an error of Accept.
const acceptRetryDelay = 50 * time.Millisecond

// RetryAccept returns a listener whose Accept fails only once the listener is closed. Other errors, such as a lack of
// file descriptors, pass: connections that close free some. A server that ended on one of them would leave its process
// running without anybody who accepts.
func RetryAccept(listener net.Listener) net.Listener { return retryListener{listener} }

type retryListener struct{ net.Listener }

// Accept waits for the next connection. Any error means that the listener is closed.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}
