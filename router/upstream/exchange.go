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

// IDHeader carries the ID of the request; a host echoes it in the response.
const IDHeader = "Request-Id"

// Request is a request as it is sent to a host.
type Request struct {
	Method string
	Target string // request target as the client sent it
	Host   string
	Header http.Header // without the headers that apply to one connection only
	Body   []byte
}

// Limits of an exchange.
const (
	maxInterimResponses = 8        // interim responses to one request
	maxSurplusResponses = 2        // responses to earlier requests that are skipped
	maxRecentIDs        = 4        // most recent requests of a connection whose IDs are kept to recognise surplus responses
	maxSurplusBytes     = 64 << 10 // size of a surplus response
)

// Do sends a request and reads the header of the response. An error is always an *Error. The caller has to read the
// body of the response, before the deadline that is set here.
//
// A response belongs to the request whose ID it echoes. A late or duplicate response to an earlier request on this
// connection is skipped. Any other response, and one without an ID, may belong to anybody and is an error.
func (c *Conn) Do(q *Request, deadline time.Time) (*http.Response, error) {
	if err := c.raw.SetDeadline(deadline); err != nil {
		return nil, &Error{NotSent, err}
	}
	write, err := c.write(q.encode())
	if err != nil {
		return nil, err
	}
	response, err := c.readResponse(q)
	c.recentIDs = append(c.recentIDs[max(0, len(c.recentIDs)+1-maxRecentIDs):], q.Header.Get(IDHeader))
	if !write.succeeded() {
		c.Retire() // the host has not read the whole request, so no other request can follow on this connection
	}
	if err == nil && !isDelimited(response) {
		response.Body = &closeDelimitedBody{response.Body, write}
	}
	return response, err
}

// readResponse reads response headers until one belongs to the request.
func (c *Conn) readResponse(q *Request) (*http.Response, error) {
	interim, surplus := 0, 0
	for {
		response, err := c.readHeader(q.Method)
		if err != nil {
			return nil, &Error{MaybeExecuted, fmt.Errorf("upstream: %w", err)}
		}
		id, wanted := response.Header.Get(IDHeader), q.Header.Get(IDHeader)
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols || interim >= maxInterimResponses:
			return nil, invalidResponse("unexpected interim response %d", response.StatusCode)
		case response.StatusCode < http.StatusOK:
			interim++
		case id == wanted:
			return response, nil
		case id == "":
			return nil, invalidResponse("no request ID")
		case surplus >= maxSurplusResponses || !slices.Contains(c.recentIDs, id) || !skip(response):
			return nil, invalidResponse("response to request %q", id)
		default:
			surplus++
			c.Retire()
		}
	}
}

// readHeader reads the header of one response to a request with the method.
func (c *Conn) readHeader(method string) (*http.Response, error) {
	c.received.beginHeader()
	defer c.received.endHeader()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

func invalidResponse(format string, args ...any) *Error {
	return &Error{MaybeExecuted, fmt.Errorf("%w: "+format, append([]any{ErrInvalidResponse}, args...)...)}
}

// skip reads the rest of a response to an earlier request. It reports false if the response is incomplete, too large
// or has no marked end.
func skip(response *http.Response) bool {
	if !isDelimited(response) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	return err == nil && n <= maxSurplusBytes
}

// isDelimited reports whether a response marks the end of its body, or has none. The body of any other response ends
// with the connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

func (q *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(q.Body))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}
