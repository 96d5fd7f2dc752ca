package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	firstHalf  = "half of the body, "
	secondHalf = "and the rest of it"
	// longBodyBytes is more than the buffers of a connection take.
	longBodyBytes = 16 << 20
	testTimeout   = 5 * time.Second
)

// observedConn tells when the write of the request has ended.
type observedConn struct {
	net.Conn
	writeEnded chan struct{}
}

func (c *observedConn) Write(b []byte) (int, error) {
	defer close(c.writeEnded)
	return c.Conn.Write(b)
}

// startEarlyHost starts a host that responds to a request without a length before it has read the body, and then
// calls end.
func startEarlyHost(t *testing.T, end func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n"+firstHalf)
		end(conn.(*net.TCPConn))
	}()
	return listener.Addr().String()
}

// startExchange sends a long request and returns the response once its header has come.
func startExchange(t *testing.T, address string) (*http.Response, *observedConn) {
	t.Helper()
	c, err := NewPool().Dial(context.Background(), address)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	observed := &observedConn{c.raw, make(chan struct{})}
	c.raw = observed
	request := &Request{Method: "POST", Target: "/", Host: "a", Header: http.Header{IDHeader: {"r"}},
		Body: bytes.Repeat([]byte("x"), longBodyBytes)}
	response, err := c.Do(request, time.Now().Add(testTimeout))
	assert.NilError(t, err)
	return response, observed
}

// Guards against half of a response being taken for a whole one: the host resets the connection, and the kernel reports
// that to the write of the request alone.
func TestResetThatOnlyTheWriteLearnsOf(t *testing.T) {
	address := startEarlyHost(t, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	response, conn := startExchange(t, address)
	<-conn.writeEnded
	body, err := io.ReadAll(response.Body)
	assert.Equal(t, string(body), firstHalf)
	assert.ErrorIs(t, err, ErrIncompleteResponse)
}

// The host closes its side of the connection after the whole response, and has not read the request yet.
func TestResponseEndsWhileTheRequestIsWritten(t *testing.T) {
	bodyRead := make(chan struct{})
	address := startEarlyHost(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, secondHalf)
		_ = conn.CloseWrite()
		<-bodyRead
	})
	response, conn := startExchange(t, address)
	body, err := io.ReadAll(response.Body)
	close(bodyRead)
	assert.NilError(t, err)
	assert.Equal(t, string(body), firstHalf+secondHalf)
	<-conn.writeEnded // the end of the response ends the write too
}
