package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

// asyncWriteBytes is the size of a request from which on it is written concurrently with reading the response: a host
// may respond before it has read a long body.
const asyncWriteBytes = 16 << 10

// pastDeadline is a deadline that has passed, whatever the clock says.
var pastDeadline = time.Unix(1, 0)

// ErrIncompleteResponse reports that the connection failed before the host had marked the end of the response.
var ErrIncompleteResponse = errors.New("upstream: connection failed before the end of the response")

// requestWrite is the write of one request to a connection. It may last longer than reading the response does.
type requestWrite struct {
	conn     net.Conn
	finished chan struct{} // closed once err is set
	err      error
}

// write sends a short request completely, and a long one in the background. If a host rejects a request early and
// closes the connection, the write fails but the response can still be read: so a failed write is an error here only
// if no byte was written.
func (c *Conn) write(request []byte) (*requestWrite, error) {
	w := &requestWrite{conn: c.raw, finished: make(chan struct{})}
	if len(request) >= asyncWriteBytes {
		go w.run(request)
		return w, nil
	}
	if n := w.run(request); n == 0 && w.err != nil {
		return nil, &Error{NotSent, fmt.Errorf("upstream: %w", w.err)}
	}
	return w, nil
}

// run writes the request and returns the number of bytes written.
func (w *requestWrite) run(request []byte) int {
	defer close(w.finished)
	n, err := w.conn.Write(request)
	w.err = err
	return n
}

// succeeded reports whether the whole request has been written by now.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.finished:
		return w.err == nil
	default:
		return false
	}
}

// stop ends the write if it is still in progress. It returns the error by which the connection failed, and nil if the
// write was complete or had only been waiting for the host to read.
func (w *requestWrite) stop() error {
	if err := w.conn.SetWriteDeadline(pastDeadline); err != nil {
		return err
	}
	<-w.finished
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}

// closeDelimitedBody is the body of a response whose end is the end of the connection. It is complete only if the host
// closed the connection, and not if the connection failed. The kernel reports a failure once, to the first call that
// comes: if that is the write of the request, a read finds the plain end of the connection, so the result of the write
// decides.
type closeDelimitedBody struct {
	io.ReadCloser
	write *requestWrite
}

// Read reads the body. It returns ErrIncompleteResponse in place of io.EOF if the connection has failed.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := b.write.stop(); failure != nil {
		return n, fmt.Errorf("%w: %w", ErrIncompleteResponse, failure)
	}
	return n, err
}
