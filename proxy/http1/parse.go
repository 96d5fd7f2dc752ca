// Package http1 parses and encodes HTTP/1.1 requests and responses as the proxy's protocol uses them.
//
// This file holds the incremental parser. It must never use a socket, decide anything, or accept a message whose
// end is ambiguous.
package http1

import (
	"bytes"
	"cmp"
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	// MaxWholeBytes is the longest body that is returned whole; a longer one comes in pieces.
	MaxWholeBytes = 64 << 10
	// MaxBodyBytes is the longest body of a message.
	MaxBodyBytes       = 40 << 20
	maxHeadBytes       = 16 << 10
	maxChunkLineBytes  = 256     // a chunk's length with its extensions
	maxIdleBufferBytes = 8 << 10 // a larger buffer is released once it is empty: there are many connections
	nsPerSecond        = 1e9     // header fields give seconds, with decimals
)

// Errors of a message. After an error the parser returns nothing more.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Piece is the part of a message that a value holds.
type Piece int

// The pieces. First, which has the head, is followed by any number of More and one Last; each may be without bytes.
const (
	Whole Piece = iota
	First
	More
	Last
)

// Field is one header field that is forwarded unchanged.
type Field struct{ Name, Value string }

// Request is a parsed request, or one piece of it. Times are in nanoseconds.
type Request struct {
	Method, Target, Host string
	ID                   string
	RuleSet, Tenant, Key string
	Timeout              int64   // how long the client waits; 0 if absent or not a positive number
	Work                 int64   // expected work; 0 if absent
	Fields               []Field // all end-to-end fields except Request-Timeout and Host
	Body                 []byte
	Close                bool // the sender closes the connection after the response
	HTTP10               bool // HTTP/1.0: no chunks in the response
	Piece                Piece
	Length               int // of the whole body if this is the First piece; -1 if unknown
}

// Response is a parsed response, or one piece of it.
type Response struct {
	Status     int
	NotStarted bool  // the request never ran
	RetryAfter int64 // in ns; 0 if absent
	Fields     []Field
	Body       []byte
	Close      bool
	Piece      Piece
	Length     int // as in Request
}

// state is what the parser reads next.
type state int

const (
	head state = iota
	body
	chunkLine
	chunkData
	chunkEnd
	trailer
	untilEOF // the end of the connection ends the body
)

// parser is the common part of RequestParser and ResponseParser: heads, lengths and chunks.
type parser struct {
	maxBody         int  // longest body, in bytes
	maxWhole        int  // longest body that is returned whole, in bytes
	piecesFromHead  bool // a body known to be longer than maxWhole starts its pieces with the head
	streaming       bool
	lenient         bool   // a field with an invalid value is ignored instead of rejected
	buf             []byte // input that has not been consumed
	scanned         int    // no line end begins before this offset
	state           state
	remaining       int
	body            []byte
	bodyRead        int  // bytes of the body so far
	firstReturned   bool // the First piece has been returned
	piece           Piece
	err             error
	chunked         bool
	length          int // -1 if unknown
	close           bool
	fields          []Field
	hopByHop        []string // fields that the Connection field names as hop-by-hop
	begun           bool     // part of a message has arrived
	expectsContinue bool     // the sender waits for 100 Continue before it sends the body
	startLine       func(line string) error
	noBody          func() bool                   // reports that the message has no body, whatever its length says
	endsAtEOF       bool                          // a body without a length lasts until the end of the connection
	handleField     func(name, value string) bool // returns false if the field is not to be forwarded
}

// Feed adds input.
func (p *parser) Feed(b []byte) {
	if p.err == nil {
		p.buf = append(p.buf, b...)
	}
}

// Begun reports whether the parser holds part of a message that it has not returned yet.
func (p *parser) Begun() bool { return p.begun || len(p.buf) > 0 }

func (p *parser) fail(err error) (bool, error) {
	p.err, p.buf, p.body = err, nil, nil
	return false, err
}

// line consumes the next line and returns it without its end.
func (p *parser) line(limit int) (string, bool, error) {
	i := bytes.IndexByte(p.buf[p.scanned:], '\n')
	if i < 0 {
		if p.scanned = len(p.buf); len(p.buf) > limit {
			return "", false, ErrTooLarge
		}
		return "", false, nil
	}
	i += p.scanned
	if i > limit {
		return "", false, ErrTooLarge
	}
	if i == 0 || p.buf[i-1] != '\r' {
		return "", false, ErrMalformed
	}
	text := string(p.buf[:i-1])
	p.consume(i + 1)
	return text, true, nil
}

func (p *parser) consume(n int) {
	p.buf = p.buf[:copy(p.buf, p.buf[n:])]
	if p.scanned = 0; len(p.buf) == 0 && cap(p.buf) > maxIdleBufferBytes {
		p.buf = nil
	}
}

// advance parses the input; it returns true if a message or a piece of one is complete.
func (p *parser) advance() (bool, error) {
	ok, err := p.step()
	if ok || err != nil || p.state == head || p.state == trailer || !p.inPieces() || p.firstReturned &&
		len(p.body) == 0 {
		return ok, err
	}
	if p.piece = More; !p.firstReturned {
		p.firstReturned, p.piece = true, First
	}
	return true, nil
}

// inPieces reports whether the message is too long to be returned whole.
func (p *parser) inPieces() bool {
	return !p.streaming && (p.firstReturned || p.bodyRead > p.maxWhole || p.piecesFromHead && p.length > p.maxWhole)
}

// HeadDone reports whether a message's head is complete and its body is not.
func (p *parser) HeadDone() bool { return p.begun && p.state != head }

// ExpectsContinue reports whether the sender waits for 100 Continue; it is false once the first byte of the body
// has arrived.
func (p *parser) ExpectsContinue() bool {
	return p.expectsContinue && p.HeadDone() && p.bodyRead == 0 && len(p.buf) == 0
}

func (p *parser) step() (bool, error) {
	if p.err != nil {
		return false, p.err
	}
	for {
		switch p.state {
		case head:
			ok, err := p.head()
			if err != nil {
				return p.fail(err)
			}
			if !ok {
				return false, nil
			}
		case untilEOF:
			if p.bodyRead += len(p.buf); p.bodyRead > p.maxBody {
				return p.fail(ErrTooLarge)
			}
			p.body = append(p.body, p.buf...)
			p.consume(len(p.buf))
			return false, nil
		case body, chunkData:
			n := min(p.remaining, len(p.buf))
			p.body = append(p.body, p.buf[:n]...)
			p.bodyRead += n
			p.consume(n)
			if p.remaining -= n; p.remaining > 0 {
				return false, nil
			}
			if p.state == body {
				return p.finishMessage(), nil
			}
			p.state = chunkEnd
		case chunkEnd:
			text, ok, err := p.line(maxChunkLineBytes)
			if err != nil || text != "" {
				return p.fail(ErrMalformed)
			}
			if !ok {
				return false, nil
			}
			if p.state = chunkLine; p.streaming {
				p.bodyRead = 0 // a stream has no length limit: its chunks are bounded one by one
				return true, nil
			}
		case chunkLine:
			text, ok, err := p.line(maxChunkLineBytes)
			if err != nil {
				return p.fail(err)
			}
			if !ok {
				return false, nil
			}
			text, _, _ = strings.Cut(text, ";")
			n, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 31)
			if err != nil {
				return p.fail(ErrMalformed)
			}
			if p.remaining = int(n); p.remaining+p.bodyRead > p.maxBody {
				return p.fail(ErrTooLarge)
			}
			if p.state = chunkData; n == 0 {
				p.state = trailer
			}
		case trailer:
			text, ok, err := p.line(maxHeadBytes)
			if err != nil {
				return p.fail(err)
			}
			if !ok {
				return false, nil
			}
			if text == "" {
				return p.finishMessage(), nil
			}
		}
	}
}

func (p *parser) finishMessage() bool {
	if p.piece = Whole; p.firstReturned {
		p.piece = Last
	}
	p.state, p.begun, p.firstReturned, p.expectsContinue = head, false, false, false
	return true
}

// takeBody returns the body bytes that have arrived since the last call.
func (p *parser) takeBody() []byte {
	b := p.body
	p.body = nil
	return b
}

// head reads a start line and fields once all of them have arrived.
func (p *parser) head() (bool, error) {
	for !p.begun && len(p.buf) > 1 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.consume(2) // an empty line before a message is ignored
	}
	end := bytes.Index(p.buf[p.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if p.scanned = max(0, len(p.buf)-3); len(p.buf) >= maxHeadBytes+4 {
			return false, ErrTooLarge
		}
		return false, nil
	}
	if end += p.scanned; end > maxHeadBytes {
		return false, ErrTooLarge
	}
	start, rest, _ := strings.Cut(string(p.buf[:end]), "\r\n")
	p.consume(end + 4)
	p.begun, p.body, p.length, p.chunked, p.close, p.fields, p.hopByHop = true, nil, -1, false, false, nil, nil
	p.bodyRead, p.expectsContinue = 0, false
	if err := p.startLine(start); err != nil {
		return false, err
	}
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := p.field(line); err != nil {
			return false, err
		}
	}
	p.fields = slices.DeleteFunc(p.fields, func(f Field) bool {
		return slices.Contains(p.hopByHop,
			strings.ToLower(f.Name))
	})
	switch {
	case p.chunked && p.length >= 0:
		return false, ErrMalformed
	case p.noBody != nil && p.noBody():
		p.state, p.remaining, p.chunked = body, 0, false
	case p.length > p.maxBody:
		return false, ErrTooLarge
	case p.chunked:
		p.state = chunkLine
	case p.endsAtEOF && p.length < 0:
		p.state, p.close = untilEOF, true
	default:
		p.state, p.remaining = body, max(0, p.length)
	}
	return true, nil
}

// field parses one header field. Message framing is handled here, all other fields by the handler of the message
// type.
func (p *parser) field(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsFunc(name, notToken) {
		return ErrMalformed
	}
	value = strings.Trim(value, " \t")
	lowerName := strings.ToLower(name)
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		if p.lenient && !strings.ContainsAny(value, "\r\n") && lowerName != "content-length" &&
			lowerName != "transfer-encoding" {
			return nil // an unreadable field, such as a load report, does not invalidate a sound response
		}
		return ErrMalformed
	}
	switch lowerName {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if errors.Is(err, strconv.ErrRange) {
			return ErrTooLarge
		}
		if err != nil || p.length >= 0 {
			return ErrMalformed
		}
		p.length = int(n)
	case "transfer-encoding":
		if p.chunked || !strings.EqualFold(value, "chunked") {
			return ErrMalformed
		}
		p.chunked = true
	case "connection":
		for token := range strings.SplitSeq(value, ",") {
			token = strings.ToLower(strings.Trim(token, " \t"))
			p.close = p.close || token == "close"
			p.hopByHop = append(p.hopByHop, token)
		}
	case "expect":
		p.expectsContinue = strings.EqualFold(value, "100-continue")
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade":
		// Hop-by-hop.
	default:
		if p.handleField(lowerName, value) {
			p.fields = append(p.fields, Field{name, value})
		}
	}
	return nil
}

func notToken(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' ||
		strings.ContainsRune("!#$%&'*+-.^_`|~", r))
}

// seconds parses a time in seconds, with or without decimals, and returns ns; 0 if it is invalid.
func seconds(text string) int64 {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) || s > math.MaxInt64/nsPerSecond/2 {
		return 0
	}
	return int64(s * nsPerSecond)
}

// RequestParser parses what a client sends.
type RequestParser struct {
	parser
	request    Request
	targetHost string // the host in an absolute target
}

// NewRequestParser returns a parser for one connection.
func NewRequestParser() *RequestParser {
	p := &RequestParser{}
	p.maxBody, p.maxWhole, p.startLine, p.parser.handleField = MaxBodyBytes, MaxWholeBytes, p.parseStartLine,
		p.handleField
	return p
}

// Next returns the next request or a piece of one; false if it is incomplete.
func (p *RequestParser) Next() (Request, bool, error) {
	ok, err := p.advance()
	if !ok {
		return Request{}, false, err
	}
	if p.piece == More || p.piece == Last {
		return Request{Piece: p.piece, Body: p.takeBody()}, true, nil
	}
	req := p.request
	req.Body, req.Fields, req.Close, req.Piece = p.takeBody(), p.fields, req.Close || p.close, p.piece
	if p.piece == First {
		req.Length = p.length
	}
	return req, true, nil
}

func (p *RequestParser) parseStartLine(line string) error {
	p.request, p.targetHost = Request{}, ""
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || strings.ContainsFunc(parts[0], notToken) || parts[1] == "" ||
		strings.ContainsFunc(parts[1], func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return ErrMalformed
	}
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		p.request.Close, p.request.HTTP10 = true, true
	default:
		return ErrMalformed
	}
	p.request.Method, p.request.Target = parts[0], parts[1]
	// An absolute target overrides the Host field.
	if rest, ok := strings.CutPrefix(parts[1], "http://"); ok {
		i := strings.IndexAny(rest, "/?")
		if i < 0 {
			i, rest = len(rest), rest+"/"
		}
		if p.targetHost = rest[:i]; p.targetHost == "" {
			return ErrMalformed
		}
		p.request.Host, p.request.Target = p.targetHost, rest[i:]
		if rest[i] == '?' {
			p.request.Target = "/" + rest[i:]
		}
	}
	return nil
}

func (p *RequestParser) handleField(name, value string) bool {
	switch name {
	case "host":
		p.request.Host = cmp.Or(p.targetHost, value)
		return false
	case "request-id":
		p.request.ID = value
	case "request-class":
		p.request.RuleSet = value
	case "tenant":
		p.request.Tenant = value
	case "affinity-key":
		p.request.Key = value
	case "request-timeout":
		p.request.Timeout = seconds(value)
		return false
	case "request-info":
		for pair := range strings.SplitSeq(value, ",") {
			if k, v, _ := strings.Cut(strings.TrimSpace(pair), "="); k == "CostGuessNs" {
				p.request.Work, _ = strconv.ParseInt(v, 10, 64)
			}
		}
	}
	return true
}

// ResponseParser parses what a host or discovery sends.
type ResponseParser struct {
	parser
	response Response
}

// NewResponseParser returns a parser for one connection.
func NewResponseParser() *ResponseParser {
	p := &ResponseParser{}
	p.maxBody, p.maxWhole, p.piecesFromHead, p.endsAtEOF = MaxBodyBytes, MaxWholeBytes, true, true
	p.lenient, p.startLine, p.parser.handleField, p.noBody = true, p.parseStartLine, p.handleField, p.noBodyStatus
	return p
}

// NewChunkParser returns a parser that returns each chunk of a response as it arrives; maxChunk is the longest,
// in bytes.
func NewChunkParser(maxChunk int) *ResponseParser {
	p := NewResponseParser()
	p.maxBody, p.streaming, p.endsAtEOF = maxChunk, true, false
	return p
}

// noBodyStatus reports whether a response has no body because of its status.
func (p *ResponseParser) noBodyStatus() bool {
	return p.response.Status < 200 || p.response.Status == 204 || p.response.Status == 304
}

// EOF returns the response that the end of the connection completes; false if it cuts one off.
func (p *ResponseParser) EOF() (Response, bool) {
	if p.err != nil || p.state != untilEOF {
		return Response{}, false
	}
	p.finishMessage()
	return p.result(), true
}

func (p *ResponseParser) result() Response {
	if p.piece == More || p.piece == Last {
		return Response{Status: p.response.Status, Piece: p.piece, Body: p.takeBody(), Close: p.response.Close ||
			p.close}
	}
	resp := p.response
	resp.Body, resp.Fields, resp.Close, resp.Piece = p.takeBody(), p.fields, resp.Close || p.close, p.piece
	if p.piece == First {
		resp.Length = p.length
	}
	return resp
}

// Next returns the next response or a piece of one; false if it is incomplete.
func (p *ResponseParser) Next() (Response, bool, error) {
	for {
		ok, err := p.advance()
		if !ok {
			return Response{}, false, err
		}
		if p.response.Status < 200 {
			continue // informational: the final response follows
		}
		if p.streaming && p.length < 0 && !p.chunked && !p.noBodyStatus() {
			_, err := p.fail(ErrMalformed) // only chunked responses can be streamed
			return Response{}, false, err
		}
		return p.result(), true, nil
	}
}

func (p *ResponseParser) parseStartLine(line string) error {
	p.response = Response{}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || n < 100 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return ErrMalformed
	}
	p.response.Status, p.response.Close = int(n), proto == "HTTP/1.0"
	return nil
}

func (p *ResponseParser) handleField(name, value string) bool {
	switch name {
	case "not-started":
		p.response.NotStarted = value == "1"
		return false
	case "retry-after":
		p.response.RetryAfter = seconds(value)
		return false
	}
	return true
}
