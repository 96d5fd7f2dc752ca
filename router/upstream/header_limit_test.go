package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// startHost returns a connection to a host that reads one request after the other and calls respond with the number of
// each, from 0. An error of respond ends the connection.
func startHost(t *testing.T, respond func(conn net.Conn, number int) error) *countingConn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	go func() {
		defer far.Close()
		reader := bufio.NewReader(far)
		for number := 0; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if err := respond(far, number); err != nil {
				return
			}
		}
	}()
	return &countingConn{Conn: near}
}

// sendRepeatedly sends text again and again, some megabytes in all.
func sendRepeatedly(conn net.Conn, text func(i int) string) error {
	const totalBytes = 4 << 20
	for i, sent := 0, 0; sent < totalBytes; i++ {
		n, err := io.WriteString(conn, text(i))
		if err != nil {
			return err
		}
		sent += n
	}
	return io.EOF
}

func get() *Request {
	return &Request{Method: "GET", Target: "/", Host: "a", Header: http.Header{IDHeader: {"r"}}}
}

// Guards against a host that takes the router over its memory limit with bytes that never end the header of a response.
func TestHeaderWithoutEndIsNotRead(t *testing.T) {
	const status, piece = "HTTP/1.1 200 OK\r\n", "nonsense"
	for name, respond := range map[string]func(conn net.Conn, number int) error{
		"no response at all": func(conn net.Conn, _ int) error {
			return sendRepeatedly(conn, func(int) string { return strings.Repeat(piece, 1<<10) })
		},
		"one field": func(conn net.Conn, _ int) error {
			_, _ = io.WriteString(conn, status+"A: ")
			return sendRepeatedly(conn, func(int) string { return strings.Repeat(piece, 1<<10) })
		},
		"many fields": func(conn net.Conn, _ int) error {
			_, _ = io.WriteString(conn, status)
			return sendRepeatedly(conn, func(i int) string { return fmt.Sprintf("A%d: b\r\n", i) })
		},
		"a continued field": func(conn net.Conn, _ int) error {
			_, _ = io.WriteString(conn, status+"A: b\r\n")
			return sendRepeatedly(conn, func(int) string { return " c\r\n" })
		},
		"after an interim response": func(conn net.Conn, _ int) error {
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n"+status+"A: ")
			return sendRepeatedly(conn, func(int) string { return strings.Repeat(piece, 1<<10) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			raw := startHost(t, respond)
			_, err := newConn(raw, "").Do(get(), time.Now().Add(testTimeout))
			assert.ErrorIs(t, err, ErrHeaderTooLarge)
			assert.Equal(t, err.(*Error).Execution, MaybeExecuted)
			assert.Assert(t, raw.read <= maxHeaderBytes+readBufferBytes, "%d bytes read", raw.read)
		})
	}
}

// The limit is one of a header: it counts neither bodies nor the headers of earlier responses on the connection.
func TestHeaderLimitIsOfOneHeader(t *testing.T) {
	const responses, bodyBytes = 4, 1 << 20
	field := strings.Repeat("x", maxHeaderBytes-readBufferBytes)
	raw := startHost(t, func(conn net.Conn, _ int) error {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s",
			field, bodyBytes, strings.Repeat("y", bodyBytes))
		return err
	})
	c := newConn(raw, "")
	for range responses {
		response, err := c.Do(get(), time.Now().Add(testTimeout))
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get("A"), field)
		n, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(bodyBytes))
	}
}
