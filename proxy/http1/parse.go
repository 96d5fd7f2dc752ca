// Package http1 turns bytes into small typed values and back: the calls and answers of HTTP/1.1 as this
// project's protocol uses them. This file owns the incremental parser. It must never touch a socket,
// decide anything, or let through a message whose end is in doubt.
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
	// MostWhole is the longest body that is given whole, in bytes; a longer one comes in pieces.
	MostWhole = 64 << 10
	// MostBody is the longest body of a message.
	MostBody = 40 << 20
	mostHead = 16 << 10
	mostLine = 256     // of a chunk's length and its extensions
	mostIdle = 8 << 10 // a larger buffer is given back once it is empty: there are many connections
	nanos    = 1e9     // the wire counts seconds, with decimals
)

// What can be wrong with a message. After an error the parser gives nothing more.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Piece says which part of a message a value is.
type Piece int

// The pieces. After First, which has the head, More come and one Last; either may be without bytes.
const (
	Whole Piece = iota
	First
	More
	Last
)

// Field is one field of a head that goes on unchanged.
type Field struct{ Name, Value string }

// Call is a req on the wire. Times are nanoseconds.
type Call struct {
	Method, Target, Host string
	ID                   string
	RuleSet, Tenant, Key string
	Timeout              int64   // how long the client waits; 0 when not told or not a positive number
	Work                 int64   // expected work, 0 when not told
	Fields               []Field // all that concern more than this connection, but Request-Timeout
	Body                 []byte
	Close                bool // the sender closes the connection after the answer
	Old                  bool // HTTP/1.0: no chunks in the answer
	Piece                Piece
	Length               int // of the whole body where this is its First piece; -1: not told
}

// Answer is what comes back for a Call, or one part of it where the parser streams.
type Answer struct {
	Status     int
	NotStarted bool  // the req never ran
	RetryAfter int64 // advised wait, 0 for none
	Fields     []Field
	Body       []byte
	Close      bool
	Piece      Piece
	Length     int // as in a Call
}

// stage is what the parser reads next.
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

// parser is what Calls and Answers share: heads, lengths and chunks.
type parser struct {
	most    int  // longest body
	wholly  int  // longest body that is given whole
	early   bool // a body known to be longer is given from its head on
	stream  bool
	lenient bool   // a field with an odd value is left out
	buf     []byte // what has come and is not used up; emptied message by message
	scanned int    // no line end begins before it
	at      stage
	left    int
	body    []byte
	got     int  // bytes of the body so far
	parted  bool // its First piece has been given
	piece   Piece
	err     error
	chunked bool
	length  int // -1: not told
	close   bool
	fields  []Field
	named   []string // fields that concern this connection alone, as it says
	begun   bool     // a part of a message has come
	expects bool     // the sender waits for a word before it sends the body
	first   func(line string) error
	none    func() bool                   // no body belongs to this message, whatever its length says
	ends    bool                          // the end of the connection may end the body
	meaning func(name, value string) bool // false: not to go on
}

// Feed takes bytes as they come.
func (p *parser) Feed(b []byte) {
	if p.err == nil {
		p.buf = append(p.buf, b...)
	}
}

// Begun says whether a part of a message is held that has not been given yet.
func (p *parser) Begun() bool { return p.begun || len(p.buf) > 0 }

func (p *parser) fail(err error) (bool, error) {
	p.err, p.buf, p.body = err, nil, nil
	return false, err
}

// line cuts the next line, without its end, off what has come.
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

// advance works on what has come; true when a message or a piece of it is there.
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

// pieces says whether the message is longer than what is given whole.
func (p *parser) pieces() bool {
	return !p.stream && (p.parted || p.got > p.wholly || p.early && p.length > p.wholly)
}

// HeadIn says whether a message's head has come and its body not yet; Expects whether its sender waits for a word.
func (p *parser) HeadIn() bool { return p.begun && p.at != head }

// Expects is set until the first byte of the body has come.
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
				p.got = 0 // a stream has no end: its chunks are bounded one by one
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

// take hands over what has come of the body.
func (p *parser) take() []byte {
	b := p.body
	p.body = nil
	return b
}

// head reads a start line and fields once all of them have come.
func (p *parser) head() (bool, error) {
	for !p.begun && len(p.buf) > 1 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.use(2) // an empty line before a message is passed over
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

// one reads a field. The framing is read here, whatever else the message means by its fields.
func (p *parser) one(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || name == "" || strings.ContainsFunc(name, notToken) {
		return ErrMalformed
	}
	value = strings.Trim(value, " \t")
	low := strings.ToLower(name)
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		if p.lenient && !strings.ContainsAny(value, "\r\n") && low != "content-length" && low != "transfer-encoding" {
			return nil // a field that cannot be read, say a load report, does not spoil a sound answer
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
		// they concern this connection alone
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

// seconds reads a time in seconds, with decimals or without; 0 where it is none.
func seconds(text string) int64 {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) || s > math.MaxInt64/nanos/2 {
		return 0
	}
	return int64(s * nanos)
}

// Calls parses what a client sends.
type Calls struct {
	parser
	call  Call
	named string // the server that the target names
}

// NewCalls makes a parser for one connection.
func NewCalls() *Calls {
	c := &Calls{}
	c.most, c.wholly, c.first, c.parser.meaning = MostBody, MostWhole, c.start, c.meaning
	return c
}

// Next gives the next call or piece of one; false when more has to come.
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
	// A target may name its server, which then counts over the Host field.
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

// Answers parses what a host or discovery sends.
type Answers struct {
	parser
	answer Answer
}

// NewAnswers makes a parser for one connection.
func NewAnswers() *Answers {
	a := &Answers{}
	a.most, a.wholly, a.early, a.ends = MostBody, MostWhole, true, true
	a.lenient, a.first, a.parser.meaning, a.none = true, a.start, a.meaning, a.empty
	return a
}

// NewChunks makes a parser that gives each chunk of an answer as it comes; most is the longest chunk, in bytes.
func NewChunks(most int) *Answers {
	a := NewAnswers()
	a.most, a.stream, a.ends = most, true, false
	return a
}

// empty says whether an answer has no body by its kind.
func (a *Answers) empty() bool {
	return a.answer.Status < 200 || a.answer.Status == 204 || a.answer.Status == 304
}

// End gives what the end of the connection makes whole; false where it breaks an answer off.
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

// Next gives the next answer or piece of one; false when more has to come.
func (a *Answers) Next() (Answer, bool, error) {
	for {
		ok, err := a.advance()
		if !ok {
			return Answer{}, false, err
		}
		if a.answer.Status < 200 {
			continue // informational: the answer proper follows
		}
		if a.stream && a.length < 0 && !a.chunked && !a.empty() {
			_, err := a.fail(ErrMalformed) // what streams comes in chunks
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
