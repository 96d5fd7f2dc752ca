package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// IDHeader names the request; a host echoes it.
const IDHeader = "Request-Id"

// Request is what goes to a host.
type Request struct {
	Method string
	Target string // as the client sent it
	Host   string
	Header http.Header // without those of one connection
	Body   []byte
}

// Limits of an exchange.
const (
	// writtenAside is the size of a request from which on it is written beside the reading of its answer: a host may answer
	// before it has read a long body.
	writtenAside   = 16 << 10
	mostInterim    = 8        // interim answers to one request
	mostSurplus    = 2        // answers to earlier requests that are skipped
	requestsKept   = 4        // requests of a connection, answers to which are known to be surplus
	largestSurplus = 64 << 10 // bytes of one
)

// Do sends a request and reads the head of the answer. An error is always an *Error. The answer's body has to be read
// by the caller, until the deadline that is set here.
//
// An answer belongs to the request whose id it echoes. One to an earlier request on this connection, which came late or
// twice, is skipped; any other one, and one without the id, may be anybody's.
func (c *Conn) Do(q *Request, deadline time.Time) (*http.Response, error) {
	if err := c.raw.SetDeadline(deadline); err != nil {
		return nil, &Error{NotSent, err}
	}
	written, err := c.write(q.bytes())
	if err != nil {
		return nil, err
	}
	answer, err := c.readAnswer(q)
	c.served = append(c.served[max(0, len(c.served)+1-requestsKept):], q.Header.Get(IDHeader))
	if written != nil && !written.isDone() {
		c.Retire() // the host has not read the whole request, so the next one can't follow on this connection
	}
	return answer, err
}

// pendingWrite is a request that is being written beside the reading of its answer.
type pendingWrite chan error

func (w pendingWrite) isDone() bool {
	select {
	case err := <-w:
		return err == nil
	default:
		return false
	}
}

// write sends a request: a short one whole, a long one beside what follows. A host that rejects a request early and ends
// the connection makes the write fail, and its answer can be read all the same: so only a write that failed before its
// first byte is an error here.
func (c *Conn) write(request []byte) (pendingWrite, error) {
	if len(request) >= writtenAside {
		written := make(pendingWrite, 1)
		go func() {
			_, err := c.raw.Write(request)
			written <- err
		}()
		return written, nil
	}
	n, err := c.raw.Write(request)
	if err == nil {
		return nil, nil
	}
	if n == 0 {
		return nil, &Error{NotSent, fmt.Errorf("upstream: %w", err)}
	}
	c.Retire()
	return nil, nil
}

// readAnswer reads heads until one is the answer to the request.
func (c *Conn) readAnswer(q *Request) (*http.Response, error) {
	interim, surplus := 0, 0
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, &Error{MayHaveRun, fmt.Errorf("upstream: %w", err)}
		}
		id, wanted := answer.Header.Get(IDHeader), q.Header.Get(IDHeader)
		switch {
		case answer.StatusCode == http.StatusSwitchingProtocols || interim >= mostInterim:
			return nil, spoilt("interim answer %d", answer.StatusCode)
		case answer.StatusCode < http.StatusOK:
			interim++
		case id == wanted:
			return answer, nil
		case id == "":
			return nil, spoilt("no request id")
		case surplus >= mostSurplus || !slices.Contains(c.served, id) || !skip(answer):
			return nil, spoilt("of request %q", id)
		default:
			surplus++
			c.Retire()
		}
	}
}

func spoilt(format string, args ...any) *Error {
	return &Error{MayHaveRun, fmt.Errorf("%w: "+format, append([]any{ErrSpoilt}, args...)...)}
}

// skip reads over an answer to an earlier request. It reports false where its end isn't told, or it isn't whole.
func skip(answer *http.Response) bool {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !framed {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, largestSurplus+1))
	return err == nil && n <= largestSurplus
}

func (q *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(q.Body))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(&b) // a bytes.Buffer doesn't fail
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}
