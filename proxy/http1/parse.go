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
	MostWhole = 64 << 10
	// MaxBodyBytes is the longest body of a message.
	MostBody = 40 << 20
	mostHead = 16 << 10
	mostLine = 256     // a chunk's length with its extensions
	mostIdle = 8 << 10 // a larger buffer is released once it is empty: there are many connections
	nanos    = 1e9     // header fields give seconds, with decimals
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
type Call struct {
	Method, Target, Host string
	ID                   string
	RuleSet, Tenant, Key string
	Timeout              int64   // how long the client waits; 0 if absent or not a positive number
	Work                 int64   // expected work; 0 if absent
	Fields               []Field // all end-to-end fields except Request-Timeout and Host
	Body                 []byte
	Close                bool // the sender closes the connection after the response
	Old                  bool // HTTP/1.0: no chunks in the response
	Piece                Piece
	Length               int // of the whole body if this is the First piece; -1 if unknown
}

// Response is a parsed response, or one piece of it.
type Answer struct {
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
type stage int

const (
	head stage = iota
	body
	chunkLine
	chunkData
	chunkEnd
	trailer
	toEnd // the end of the connection ends the body
)

// parser is the common part of RequestParser and ResponseParser: heads, lengths and chunks.
type parser struct {
	most    int  // longest body, in bytes
	wholly  int  // longest body that is returned whole, in bytes
	early   bool // a body known to be longer than maxWhole starts its pieces with the head
	stream  bool
	lenient bool   // a field with an invalid value is ignored instead of rejected
	buf     []byte // input that has not been consumed
	scanned int    // no line end begins before this offset
	at      stage
	left    int
	body    []byte
	got     int  // bytes of the body so far
	parted  bool // the First piece has been returned
	piece   Piece
	err     error
	chunked bool
	length  int // -1 if unknown
	close   bool
	fields  []Field
	named   []string // fields that the Connection field names as hop-by-hop
	begun   bool     // part of a message has arrived
	expects bool     // the sender waits for 100 Continue before it sends the body
	first   func(line string) error
	none    func() bool                   // reports that the message has no body, whatever its length says
	ends    bool                          // a body without a length lasts until the end of the connection
	meaning func(name, value string) bool // returns false if the field is not to be forwarded
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
func (p *parser) line(most int) (string, bool, error) {
	i := bytes.IndexByte(p.buf[p.scanned:], '\n')
	if i < 0 {
		if p.scanned = len(p.buf); len(p.buf) > most {
			return "", false, ErrTooLarge
		}
		return "", false, nil
	}
	i += p.scanned
	if i > most {
		return "", false, ErrTooLarge
	}
	if i == 0 || p.buf[i-1] != '\r' {
		return "", false, ErrMalformed
	}
	text := string(p.buf[:i-1])
	p.use(i + 1)
	return text, true, nil
}

func (p *parser) use(n int) {
	p.buf = p.buf[:copy(p.buf, p.buf[n:])]
	if p.scanned = 0; len(p.buf) == 0 && cap(p.buf) > mostIdle {
		p.buf = nil
	}
}

// advance parses the input; it returns true if a message or a piece of one is complete.
func (p *parser) advance() (bool, error) {
	ok, err := p.step()
	if ok || err != nil || p.at == head || p.at == trailer || !p.pieces() || p.parted && len(p.body) == 0 {
		return ok, err
	}
	if p.piece = More; !p.parted {
		p.parted, p.piece = true, First
	}
	return true, nil
}

// inPieces reports whether the message is too long to be returned whole.
func (p *parser) pieces() bool {
	return !p.stream && (p.parted || p.got > p.wholly || p.early && p.length > p.wholly)
}

// HeadDone reports whether a message's head is complete and its body is not.
func (p *parser) HeadIn() bool { return p.begun && p.at != head }

// ExpectsContinue reports whether the sender waits for 100 Continue; it is false once the first byte of the body
// has arrived.
func (p *parser) Expects() bool { return p.expects && p.HeadIn() && p.got == 0 && len(p.buf) == 0 }

func (p *parser) step() (bool, error) {
	if p.err != nil {
		return false, p.err
	}
	for {
		switch p.at {
		case head:
			ok, err := p.head()
			if err != nil {
				return p.fail(err)
			}
			if !ok {
				return false, nil
			}
		case toEnd:
			if p.got += len(p.buf); p.got > p.most {
				return p.fail(ErrTooLarge)
			}
			p.body = append(p.body, p.buf...)
			p.use(len(p.buf))
			return false, nil
		case body, chunkData:
			n := min(p.left, len(p.buf))
			p.body = append(p.body, p.buf[:n]...)
			p.got += n
			p.use(n)
			if p.left -= n; p.left > 0 {
				return false, nil
			}
			if p.at == body {
				return p.whole(), nil
			}
			p.at = chunkEnd
		case chunkEnd:
			text, ok, err := p.line(mostLine)
			if err != nil || text != "" {
				return p.fail(ErrMalformed)
			}
			if !ok {
				return false, nil
			}
			if p.at = chunkLine; p.stream {
				p.got = 0 // a stream has no length limit: its chunks are bounded one by one
				return true, nil
			}
		case chunkLine:
			text, ok, err := p.line(mostLine)
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
			if p.left = int(n); p.left+p.got > p.most {
				return p.fail(ErrTooLarge)
			}
			if p.at = chunkData; n == 0 {
				p.at = trailer
			}
		case trailer:
			text, ok, err := p.line(mostHead)
			if err != nil {
				return p.fail(err)
			}
			if !ok {
				return false, nil
			}
			if text == "" {
				return p.whole(), nil
			}
		}
	}
}

func (p *parser) whole() bool {
	if p.piece = Whole; p.parted {
		p.piece = Last
	}
	p.at, p.begun, p.parted, p.expects = head, false, false, false
	return true
}

// takeBody returns the body bytes that have arrived since the last call.
func (p *parser) take() []byte {
	b := p.body
	p.body = nil
	return b
}

// head reads a start line and fields once all of them have arrived.
func (p *parser) head() (bool, error) {
	for !p.begun && len(p.buf) > 1 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.use(2) // an empty line before a message is ignored
	}
	end := bytes.Index(p.buf[p.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if p.scanned = max(0, len(p.buf)-3); len(p.buf) >= mostHead+4 {
			return false, ErrTooLarge
		}
		return false, nil
	}
	if end += p.scanned; end > mostHead {
		return false, ErrTooLarge
	}
	first, rest, _ := strings.Cut(string(p.buf[:end]), "\r\n")
	p.use(end + 4)
	p.begun, p.body, p.length, p.chunked, p.close, p.fields, p.named = true, nil, -1, false, false, nil, nil
	p.got, p.expects = 0, false
	if err := p.first(first); err != nil {
		return false, err
	}
	for rest != "" {
		var text string
		text, rest, _ = strings.Cut(rest, "\r\n")
		if err := p.one(text); err != nil {
			return false, err
		}
	}
	p.fields = slices.DeleteFunc(p.fields, func(f Field) bool { return slices.Contains(p.named, strings.ToLower(f.Name)) })
	switch {
	case p.chunked && p.length >= 0:
		return false, ErrMalformed
	case p.none != nil && p.none():
		p.at, p.left, p.chunked = body, 0, false
	case p.length > p.most:
		return false, ErrTooLarge
	case p.chunked:
		p.at = chunkLine
	case p.ends && p.length < 0:
		p.at, p.close = toEnd, true
	default:
		p.at, p.left = body, max(0, p.length)
	}
	return true, nil
}

// field parses one header field. Message framing is handled here, all other fields by the handler of the message
// type.
func (p *parser) one(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || name == "" || strings.ContainsFunc(name, notToken) {
		return ErrMalformed
	}
	value = strings.Trim(value, " \t")
	low := strings.ToLower(name)
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		if p.lenient && !strings.ContainsAny(value, "\r\n") && low != "content-length" && low != "transfer-encoding" {
			return nil // an unreadable field, such as a load report, does not invalidate a sound response
		}
		return ErrMalformed
	}
	switch low {
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
			p.named = append(p.named, token)
		}
	case "expect":
		p.expects = strings.EqualFold(value, "100-continue")
	case "keep-alive", "proxy-connection", "te", "trailer", "upgrade":
		// hop-by-hop
	default:
		if p.meaning(low, value) {
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
	if err != nil || !(s > 0) || s > math.MaxInt64/nanos/2 {
		return 0
	}
	return int64(s * nanos)
}

// RequestParser parses what a client sends.
type Calls struct {
	parser
	call  Call
	named string // the host in an absolute target
}

// NewRequestParser returns a parser for one connection.
func NewCalls() *Calls {
	c := &Calls{}
	c.most, c.wholly, c.first, c.parser.meaning = MostBody, MostWhole, c.start, c.meaning
	return c
}

// Next returns the next request or a piece of one; false if it is incomplete.
func (c *Calls) Next() (Call, bool, error) {
	ok, err := c.advance()
	if !ok {
		return Call{}, false, err
	}
	if c.piece == More || c.piece == Last {
		return Call{Piece: c.piece, Body: c.take()}, true, nil
	}
	got := c.call
	got.Body, got.Fields, got.Close, got.Piece = c.take(), c.fields, got.Close || c.close, c.piece
	if c.piece == First {
		got.Length = c.length
	}
	return got, true, nil
}

func (c *Calls) start(line string) error {
	c.call, c.named = Call{}, ""
	part := strings.Split(line, " ")
	if len(part) != 3 || part[0] == "" || strings.ContainsFunc(part[0], notToken) || part[1] == "" ||
		strings.ContainsFunc(part[1], func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return ErrMalformed
	}
	switch part[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		c.call.Close, c.call.Old = true, true
	default:
		return ErrMalformed
	}
	c.call.Method, c.call.Target = part[0], part[1]
	// An absolute target overrides the Host field.
	if rest, ok := strings.CutPrefix(part[1], "http://"); ok {
		i := strings.IndexAny(rest, "/?")
		if i < 0 {
			i, rest = len(rest), rest+"/"
		}
		if c.named = rest[:i]; c.named == "" {
			return ErrMalformed
		}
		c.call.Host, c.call.Target = c.named, rest[i:]
		if rest[i] == '?' {
			c.call.Target = "/" + rest[i:]
		}
	}
	return nil
}

func (c *Calls) meaning(name, value string) bool {
	switch name {
	case "host":
		c.call.Host = cmp.Or(c.named, value)
		return false
	case "request-id":
		c.call.ID = value
	case "request-class":
		c.call.RuleSet = value
	case "tenant":
		c.call.Tenant = value
	case "affinity-key":
		c.call.Key = value
	case "request-timeout":
		c.call.Timeout = seconds(value)
		return false
	case "request-info":
		for pair := range strings.SplitSeq(value, ",") {
			if k, v, _ := strings.Cut(strings.TrimSpace(pair), "="); k == "CostGuessNs" {
				c.call.Work, _ = strconv.ParseInt(v, 10, 64)
			}
		}
	}
	return true
}

// ResponseParser parses what a host or discovery sends.
type Answers struct {
	parser
	answer Answer
}

// NewResponseParser returns a parser for one connection.
func NewAnswers() *Answers {
	a := &Answers{}
	a.most, a.wholly, a.early, a.ends = MostBody, MostWhole, true, true
	a.lenient, a.first, a.parser.meaning, a.none = true, a.start, a.meaning, a.empty
	return a
}

// NewChunkParser returns a parser that returns each chunk of a response as it arrives; maxChunk is the longest,
// in bytes.
func NewChunks(most int) *Answers {
	a := NewAnswers()
	a.most, a.stream, a.ends = most, true, false
	return a
}

// noBodyStatus reports whether a response has no body because of its status.
func (a *Answers) empty() bool {
	return a.answer.Status < 200 || a.answer.Status == 204 || a.answer.Status == 304
}

// EOF returns the response that the end of the connection completes; false if it cuts one off.
func (a *Answers) End() (Answer, bool) {
	if a.err != nil || a.at != toEnd {
		return Answer{}, false
	}
	a.whole()
	return a.give(), true
}

func (a *Answers) give() Answer {
	if a.piece == More || a.piece == Last {
		return Answer{Status: a.answer.Status, Piece: a.piece, Body: a.take(), Close: a.answer.Close || a.close}
	}
	got := a.answer
	got.Body, got.Fields, got.Close, got.Piece = a.take(), a.fields, got.Close || a.close, a.piece
	if a.piece == First {
		got.Length = a.length
	}
	return got
}

// Next returns the next response or a piece of one; false if it is incomplete.
func (a *Answers) Next() (Answer, bool, error) {
	for {
		ok, err := a.advance()
		if !ok {
			return Answer{}, false, err
		}
		if a.answer.Status < 200 {
			continue // informational: the final response follows
		}
		if a.stream && a.length < 0 && !a.chunked && !a.empty() {
			_, err := a.fail(ErrMalformed) // only chunked responses can be streamed
			return Answer{}, false, err
		}
		return a.give(), true, nil
	}
}

func (a *Answers) start(line string) error {
	a.answer = Answer{}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || n < 100 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return ErrMalformed
	}
	a.answer.Status, a.answer.Close = int(n), proto == "HTTP/1.0"
	return nil
}

func (a *Answers) meaning(name, value string) bool {
	switch name {
	case "not-started":
		a.answer.NotStarted = value == "1"
		return false
	case "retry-after":
		a.answer.RetryAfter = seconds(value)
		return false
	}
	return true
}
