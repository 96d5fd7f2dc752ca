package http1

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const postText = "POST /api?a=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\nRequest-Class: checkout\r\n" +
	"Tenant: acme\r\naffinity-key: 7f3a\r\nRequest-Timeout: 0.480\r\nRequest-Info: Other=1, CostGuessNs=12\r\n" +
	"Idempotency-Key: m1\r\nTE: gzip\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\nContent-Length: 5\r\n\r\nhello"

var postRequest = Request{Method: "POST", Target: "/api?a=1", ID: "9b1f", RuleSet: "checkout", Tenant: "acme",
	Key:  "7f3a",
	Host: "origin.svc", Timeout: 480e6, Work: 12, Body: []byte("hello"),
	Fields: []Field{{"Request-Id", "9b1f"}, {"Request-Class", "checkout"}, {"Tenant", "acme"}, {"affinity-key", "7f3a"},
		{"Request-Info", "Other=1, CostGuessNs=12"}, {"Idempotency-Key", "m1"}}}

// parseAll feeds the pieces and collects the requests, each joined from its pieces.
func parseAll(pieces ...[]byte) (got []Request, err error) {
	p := NewRequestParser()
	for _, piece := range pieces {
		p.Feed(piece)
		for {
			c, ok, e := p.Next()
			if e != nil {
				return got, e
			}
			if !ok {
				break
			}
			if c.Piece == More || c.Piece == Last {
				last := &got[len(got)-1]
				last.Body = append(last.Body, c.Body...)
				if c.Piece == Last {
					last.Piece, last.Length = Whole, 0
				}
				continue
			}
			got = append(got, c)
		}
	}
	return got, nil
}

func TestRequests(t *testing.T) {
	chunked := strings.Replace(postText, "Content-Length: 5\r\n\r\nhello",
		"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: x\r\n\r\n", 1)
	get := Request{Method: "GET", Target: "/", ID: "1", Close: true, Fields: []Field{{"Request-Id", "1"}}}
	old := get
	old.HTTP10 = true
	for name, c := range map[string]struct {
		text string
		want []Request
	}{
		"length":     {postText, []Request{postRequest}},
		"chunked":    {chunked, []Request{postRequest}},
		"pipelined":  {postText + chunked + postText, []Request{postRequest, postRequest, postRequest}},
		"empty line": {"\r\n" + postText + "\r\n" + postText, []Request{postRequest, postRequest}},
		"no body":    {"GET / HTTP/1.1\r\nRequest-Id: 1\r\nConnection: x, Close\r\n\r\n", []Request{get}},
		"old":        {"GET / HTTP/1.0\r\nRequest-Id: 1\r\n\r\n", []Request{old}},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(c.text) + 1 {
				got, err := parseAll([]byte(c.text[:cut]), []byte(c.text[cut:]))
				if err != nil || !reflect.DeepEqual(got, c.want) {
					t.Fatalf("cut at %d: got %+v, %v, want %+v", cut, got, err, c.want)
				}
			}
		})
	}
	t.Run("unfinished", func(t *testing.T) {
		if got, err := parseAll([]byte(postText[:len(postText)-1])); len(got) != 0 || err != nil {
			t.Fatalf("got %+v, %v, want no request yet", got, err)
		}
	})
}

func TestRequestsRejected(t *testing.T) {
	head := "POST / HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"no version":         {"POST /\r\n\r\n", ErrMalformed},
		"other version":      {"POST / HTTP/2.0\r\n\r\n", ErrMalformed},
		"space in target":    {"POST /a b HTTP/1.1\r\n\r\n", ErrMalformed},
		"method no token":    {"PO(ST / HTTP/1.1\r\n\r\n", ErrMalformed},
		"space before colon": {head + "Host : x\r\n\r\n", ErrMalformed},
		"folded":             {head + "Host: x\r\n y\r\n\r\n", ErrMalformed},
		"bare line feed":     {head + "Host: x\nTenant: y\r\n\r\n", ErrMalformed},
		"bad length":         {head + "Content-Length: 5x\r\n\r\nhello", ErrMalformed},
		"signed length":      {head + "Content-Length: +5\r\n\r\nhello", ErrMalformed},
		"doubled length":     {head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", ErrMalformed},
		"both framings":      {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrMalformed},
		"other encoding":     {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", ErrMalformed},
		"bad chunk":          {head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", ErrMalformed},
		"long chunk data":    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n", ErrMalformed},
		"long body":          {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", MaxBodyBytes+1), ErrTooLarge},
		"endless length":     {head + "Content-Length: 99999999999999999999\r\n\r\n", ErrTooLarge},
		"long chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n3000000\r\n", ErrTooLarge},
		"long head":          {head + "X: " + strings.Repeat("x", maxHeadBytes), ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := parseAll([]byte(c.text)); !errors.Is(err, c.want) || len(got) != 0 {
				t.Fatalf("got %+v, %v, want %v", got, err, c.want)
			}
		})
	}
	t.Run("longest body", func(t *testing.T) {
		got, err := parseAll([]byte(head + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", MaxWholeBytes)))
		if err != nil || len(got) != 1 || len(got[0].Body) != MaxWholeBytes {
			t.Fatalf("got %d calls, %v, want one of 64 KiB", len(got), err)
		}
	})
}

func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Response
		err  error
	}{
		"served": {"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi",
			Response{Status: 200, Fields: []Field{{"Content-Type", "a/b"}}, Body: []byte("hi")}, nil},
		"no reason": {"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", Response{Status: 200}, nil},
		"refused": {"HTTP/1.1 503 X\r\nNot-Started: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
			Response{Status: 503, NotStarted: true, RetryAfter: 15e8}, nil},
		"no content": {"HTTP/1.1 204 X\r\nConnection: close\r\n\r\n", Response{Status: 204, Close: true}, nil},
		"continue": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			Response{Status: 200, Body: []byte("hi")}, nil},
		"odd field": {"HTTP/1.1 200 OK\r\nServer-Load: TEXT \x00\x01\xff=\r\nContent-Length: 2\r\n\r\nhi",
			Response{Status: 200, Body: []byte("hi")}, nil},
		"odd length": {"HTTP/1.1 200 OK\r\nContent-Length: 2\x00\r\n\r\nhi", Response{}, ErrMalformed},
		// Without a length its end would be the end of the connection, which may be a failure: half a body must not
		// become a 200.
		"bad status": {"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", Response{}, ErrMalformed},
		"no http":    {"ICY 200 OK\r\n\r\n", Response{}, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewResponseParser()
			p.Feed([]byte(c.text))
			got, ok, err := p.Next()
			if !errors.Is(err, c.err) || ok != (c.err == nil) || !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %+v, %v, %v, want %+v, %v", got, ok, err, c.want, c.err)
			}
		})
	}
	t.Run("begun", func(t *testing.T) {
		p := NewResponseParser()
		p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh"))
		if _, ok, err := p.Next(); ok || err != nil || !p.Begun() {
			t.Fatalf("got %v, %v, begun %v, want part of a message buffered", ok, err, p.Begun())
		}
	})
	t.Run("stream", func(t *testing.T) {
		p := NewChunkParser(MaxBodyBytes)
		p.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\n"))
		a, ok, _ := p.Next()
		if !ok || string(a.Body) != "abc" {
			t.Fatalf("got %+v, %v, want the first chunk", a, ok)
		}
		if _, ok, _ = p.Next(); ok {
			t.Fatal("got a chunk that is incomplete")
		}
		p.Feed([]byte("d\r\n"))
		if a, ok, _ = p.Next(); !ok || string(a.Body) != "d" {
			t.Fatalf("got %+v, %v, want the second chunk alone", a, ok)
		}
	})
}

func TestAppend(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		want := postRequest
		want.Timeout = 300e6 // the proxy tells the host its own timeout
		got, err := parseAll(AppendRequest(nil, postRequest, "127.0.0.1:1", 300e6))
		if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
	t.Run("response", func(t *testing.T) {
		want := Response{Status: 503, RetryAfter: 16e7, Fields: []Field{{"Content-Type", "a/b"}}, Body: []byte("no"),
			Close: true}
		p := NewResponseParser()
		p.Feed(AppendResponse(nil, want, false))
		if got, ok, err := p.Next(); !ok || err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, %v, want %+v", got, ok, err, want)
		}
	})
}

// FuzzCalls checks that the result does not depend on how the input is split.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(postText+postText), uint8(7))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"),
		uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		whole, err := parseAll(text)
		var pieces [][]byte
		for rest := text; len(rest) > 0; {
			n := min(len(rest), 1+int(step))
			pieces = append(pieces, bytes.Clone(rest[:n]))
			rest = rest[n:]
		}
		cut, errCut := parseAll(pieces...)
		if !reflect.DeepEqual(whole, cut) || !errors.Is(errCut, err) {
			t.Fatalf("whole: %+v, %v; in pieces: %+v, %v", whole, err, cut, errCut)
		}
		for _, c := range whole {
			if len(c.Body) > MaxBodyBytes || c.Method == "" || c.Target == "" {
				t.Fatalf("got %+v", c)
			}
		}
	})
}

// A message that is too long to be returned whole comes in pieces that together are all of it, in order, and the
// last is marked.
func TestPieces(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20000)
	t.Run("request", func(t *testing.T) {
		for name, text := range map[string]string{
			"length":  "POST / HTTP/1.1\r\nContent-Length: 320000\r\n\r\n" + long,
			"chunked": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4E200\r\n" + long + "\r\n0\r\nX: 1\r\n\r\n",
		} {
			p, body, pieces := NewRequestParser(), "", []Piece{}
			for rest := text + postText; len(rest) > 0; {
				n := min(len(rest), 30000)
				p.Feed([]byte(rest[:n]))
				rest = rest[n:]
				for c, ok, err := p.Next(); ok || err != nil; c, ok, err = p.Next() {
					if err != nil {
						t.Fatal(err)
					}
					if pieces = append(pieces, c.Piece); c.Piece != Whole {
						body += string(c.Body)
					}
					if want := map[string]int{"length": 320000, "chunked": -1}[name]; c.Piece == First &&
						c.Length != want {
						t.Errorf("%s: got length %d, want %d", name, c.Length, want)
					}
				}
			}
			n := len(pieces)
			if body != long || n < 6 || pieces[0] != First || pieces[n-2] != Last || pieces[n-1] != Whole {
				t.Errorf("%s: got %d bytes, pieces %v", name, len(body), pieces)
			}
		}
	})
	t.Run("response of a known length starts with its head", func(t *testing.T) {
		p := NewResponseParser()
		p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 320000\r\n\r\n"))
		if a, ok, err := p.Next(); !ok || err != nil || a.Piece != First || a.Length != 320000 || len(a.Body) != 0 {
			t.Fatalf("got %+v, %v, %v", a, ok, err)
		}
		if _, ok, _ := p.Next(); ok {
			t.Fatal("got a piece that has not arrived")
		}
	})
	t.Run("to the end", func(t *testing.T) {
		p := NewResponseParser()
		p.Feed([]byte("HTTP/1.1 200 OK\r\nX: y\r\n\r\nab"))
		if _, ok, err := p.Next(); ok || err != nil {
			t.Fatalf("got %v, %v before the end", ok, err)
		}
		a, ok := p.EOF()
		if !ok || string(a.Body) != "ab" || a.Piece != Whole || !a.Close || len(a.Fields) != 1 {
			t.Fatalf("got %+v, %v", a, ok)
		}
		if _, ok := p.EOF(); ok {
			t.Fatal("got a second response")
		}
		p = NewResponseParser()
		p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"))
		if _, ok := p.EOF(); ok {
			t.Fatal("got a response that was cut off")
		}
	})
	t.Run("no body by its kind", func(t *testing.T) {
		p := NewResponseParser()
		p.Feed([]byte("HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\nHTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n"))
		if a, ok, err := p.Next(); !ok || err != nil || a.Status != 304 || len(a.Body) != 0 {
			t.Fatalf("got %+v, %v, %v", a, ok, err)
		}
	})
	t.Run("written and read again", func(t *testing.T) {
		for _, length := range []int{320000, -1} {
			call := Request{Method: "POST", Target: "/", Host: "x", Piece: First, Length: length,
				Body: []byte(long[:100000])}
			b := AppendRequest(nil, call, "x", 0)
			b = AppendPiece(b, length < 0, []byte(long[100000:]), false)
			b = AppendPiece(b, length < 0, nil, true)
			if got, err := parseAll(b[:70000], b[70000:]); err != nil || len(got) != 1 || string(got[0].Body) != long {
				t.Errorf("length %d: got %d calls, %v", length, len(got), err)
			}
		}
		old := AppendResponse(nil, Response{Status: 200, Piece: First, Length: -1, Body: []byte("ab"), Close: true},
			true)
		if text := string(old); strings.Contains(text, "chunked") || !strings.HasSuffix(text, "\r\n\r\nab") {
			t.Errorf("got %q for an old client", text)
		}
	})
}

func TestHeads(t *testing.T) {
	t.Run("expects", func(t *testing.T) {
		p := NewRequestParser()
		p.Feed([]byte("POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n"))
		if _, ok, err := p.Next(); ok || err != nil || !p.ExpectsContinue() || !p.HeadDone() {
			t.Fatalf("got %v, %v, expects %v", ok, err, p.ExpectsContinue())
		}
		p.Feed([]byte("a"))
		if _, _, err := p.Next(); err != nil || p.ExpectsContinue() {
			t.Fatal("a sender that has begun its body does not expect 100 Continue")
		}
	})
	for target, want := range map[string][2]string{
		"http://a:1/b?c": {"a:1", "/b?c"}, "http://a": {"a", "/"}, "http://a?c": {"a", "/?c"}, "/b": {"h", "/b"},
	} {
		got, err := parseAll([]byte("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"))
		if err != nil || len(got) != 1 || got[0].Host != want[0] || got[0].Target != want[1] {
			t.Errorf("%s: got %+v, %v, want %v", target, got, err, want)
		}
	}
	if _, err := parseAll([]byte("GET http:///b HTTP/1.1\r\nHost: h\r\n\r\n")); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v for a target without a host", err)
	}
}

// A watch lasts for days: the limit of a chunk must not apply to all of them together.
func TestStreamHasNoLengthLimit(t *testing.T) {
	a := NewChunkParser(100)
	a.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for i := range 50 {
		a.Feed(AppendPiece(nil, true, make([]byte, 90), false))
		if got, ok, err := a.Next(); !ok || err != nil || len(got.Body) != 90 {
			t.Fatalf("chunk %d: %v, %v, %d bytes", i, ok, err, len(got.Body))
		}
		if !a.HeadDone() {
			t.Fatal("the response counts as ended")
		}
	}
	a.Feed([]byte("65\r\n")) // 101 bytes
	if _, _, err := a.Next(); err != ErrTooLarge {
		t.Errorf("got %v for a chunk above the limit", err)
	}
	a = NewChunkParser(100)
	a.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	if _, ok, err := a.Next(); !ok || err != nil || a.HeadDone() {
		t.Errorf("%v, %v: the end of the response is not detected", ok, err)
	}
}
