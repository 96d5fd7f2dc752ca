package tcp

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// failingListener fails twice before it accepts.
type failingListener struct {
	net.Listener
	calls atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.calls.Add(1) <= 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// Guards against a process that goes on without accepting connections after one error of its listener.
func TestServerOutlivesErrorsOfAccept(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(RetryAccept(&failingListener{Listener: listener})) }()
	response, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-ended, http.ErrServerClosed)
}
