package upstream

import (
	"errors"
	"net"
)

// maxHeaderBytes bounds the header of one response: its status line and header fields. Up to readBufferBytes may come on
// top, which an earlier read has buffered.
const maxHeaderBytes = 16 << 10

// ErrHeaderTooLarge reports that a host sent maxHeaderBytes without reaching the end of a response header.
var ErrHeaderTooLarge = errors.New("upstream: response header too large")

// headerLimitedConn bounds how much is read while the header of a response is read. It is used by one goroutine at a
// time.
type headerLimitedConn struct {
	net.Conn
	inHeader  bool
	remaining int // bytes that may still be read; counts while inHeader
}

// beginHeader allows maxHeaderBytes from now on.
func (c *headerLimitedConn) beginHeader() {
	c.inHeader = true
	c.remaining = maxHeaderBytes
}

// endHeader lifts the limit: what follows is bounded by the reader of the body.
func (c *headerLimitedConn) endHeader() { c.inHeader = false }

// Read reads from the connection. It returns ErrHeaderTooLarge once the limit is used up.
func (c *headerLimitedConn) Read(p []byte) (int, error) {
	if !c.inHeader {
		return c.Conn.Read(p)
	}
	if c.remaining == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}
