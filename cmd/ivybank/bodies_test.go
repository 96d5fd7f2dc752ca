package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const largeSize = 32 << 20 // bytes

// testBody is a reader of reproducible bytes that do not repeat within one piece of a body.
type testBody struct{ at, size int }

func (s *testBody) Read(b []byte) (int, error) {
	n := min(len(b), s.size-s.at)
	if n == 0 {
		return 0, io.EOF
	}
	for i := range n {
		x := uint32(s.at+i) * 2654435761
		b[i] = byte(x>>24) ^ byte(x>>9)
	}
	s.at += n
	return n, nil
}

func checksum(t *testing.T, r io.Reader) string {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	if err != nil {
		t.Fatalf("after %d bytes: %v", n, err)
	}
	return fmt.Sprintf("%d %x", n, h.Sum(nil)[:8])
}

// requestHead returns the head of a request with more in place of its Content-Length.
func requestHead(method, id, ruleSet, more string) string {
	return strings.Replace(strings.TrimSuffix(clientRequest(method, id, ruleSet, ""), "\r\n"),
		"Content-Length: 0\r\n", more, 1) + "\r\n"
}

// peakMemoryMB returns the process's peak resident memory in MB.
func (p *proxyProcess) peakMemoryMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

func TestLargeResponses(t *testing.T) {
	chunked := func(c net.Conn, size int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n")
		b := make([]byte, 50000)
		for s := (&testBody{size: size}); ; {
			n, err := io.ReadFull(s, b)
			if n > 0 {
				fmt.Fprintf(c, "%x\r\n%s\r\n", n, b[:n])
			}
			if err != nil {
				break
			}
		}
		_, _ = io.WriteString(c, "0\r\nX: 1\r\n\r\n")
	}
	untilClose := func(c net.Conn, size int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(c, &testBody{size: size})
	}
	withLength := func(c net.Conn, size int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.Copy(c, &testBody{size: size})
	}
	want := checksum(t, &testBody{size: largeSize})
	for name, c := range map[string]struct {
		reply  func(net.Conn, int)
		http10 bool // an HTTP/1.0 client
		slow   bool // the client reads slowly at first
	}{
		"length":                   {withLength, false, false},
		"chunked":                  {chunked, false, false},
		"until close":              {untilClose, false, false},
		"chunked, HTTP/1.0 client": {chunked, true, false},
		"slow client":              {untilClose, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHost(t, func(to net.Conn, _ *http.Request) bool { c.reply(to, largeSize); return false })
			p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
			conn, in := p.dial(t)
			_, _ = io.WriteString(conn, map[bool]string{false: clientRequest("POST", "a", "once", ""),
				true: strings.Replace(clientRequest("POST", "a", "once", ""), "HTTP/1.1", "HTTP/1.0", 1)}[c.http10])
			if c.slow {
				_ = conn.(*net.TCPConn).SetReadBuffer(65536)
			}
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.StatusCode != 200 {
				t.Fatalf("got %v, %v", r, err)
			}
			body := io.Reader(r.Body)
			if c.slow { // for longer than any client timeout, while some bytes are read
				var first bytes.Buffer
				for range 50 {
					_, _ = io.CopyN(&first, r.Body, 6400)
					time.Sleep(100 * time.Millisecond)
				}
				body = io.MultiReader(&first, r.Body)
			}
			if got := checksum(t, body); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if m := p.peakMemoryMB(t); m > 64 {
				t.Errorf("got %d MB for one response of 32 MB", m)
			}
			if n := p.counters(t); n["done"] != 1 || n["streamed"] != 1 {
				t.Errorf("got %v", n)
			}
		})
	}
}

// Many large request bodies at a time, framed in each way, need less memory than one of them would if it were
// buffered.
func TestLargeBodies(t *testing.T) {
	want := checksum(t, &testBody{size: largeSize / 4})
	h := newFakeHost(t, nil)
	h.handleConns(func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		x := sha256.New()
		n, err := io.Copy(x, r.Body)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, httpResponse(200, "", fmt.Sprintf("%d %x", n, x.Sum(nil)[:8])))
	})
	p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	done := make(chan string)
	const many = 12
	for i := range many {
		go func() {
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				done <- err.Error()
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			id := fmt.Sprint("a", i)
			switch i % 3 {
			case 0:
				_, _ = io.WriteString(c, requestHead("POST", id, "once",
					fmt.Sprintf("Content-Length: %d\r\n", largeSize/4)))
			case 1:
				_, _ = io.WriteString(c, requestHead("POST", id, "once", "Transfer-Encoding: chunked\r\n"))
			case 2:
				_, _ = io.WriteString(c, requestHead("POST", id, "once",
					fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", largeSize/4)))
				line, _ := in.ReadString('\n')
				if blank, _ := in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" || blank != "\r\n" {
					done <- "no 100 Continue: " + line
					return
				}
			}
			b := make([]byte, 70000)
			for s := (&testBody{size: largeSize / 4}); ; {
				n, err := io.ReadFull(s, b)
				if i%3 == 1 && n > 0 {
					fmt.Fprintf(c, "%x\r\n%s\r\n", n, b[:n])
				} else {
					_, _ = c.Write(b[:n])
				}
				if err != nil {
					break
				}
			}
			if i%3 == 1 {
				_, _ = io.WriteString(c, "0\r\nX: trailer\r\n\r\n")
			}
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				done <- err.Error()
				return
			}
			body, _ := io.ReadAll(r.Body)
			done <- string(body)
		}()
	}
	for range many {
		if got := <-done; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if m := p.peakMemoryMB(t); m > 80 {
		t.Errorf("got %d MB for %d bodies of 8 MB at a time", m, many)
	}
}

// A client must be able to tell that a response is incomplete. A request whose body was not buffered is not retried,
// and nothing is held forever.
func TestInterruptedBodies(t *testing.T) {
	partial := "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 100000)
	t.Run("a host closes within its response", func(t *testing.T) {
		h := newFakeHost(t, replyWith(partial, false))
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.send(t, clientRequest("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Errorf("got %d bytes and no error, want an error at the client", n)
		}
		eventually(t, "it is counted", func() bool { n := p.counters(t); return n["cut"] == 1 && n["done"] == 0 })
	})
	t.Run("a host stalls within its response", func(t *testing.T) {
		release := make(chan bool)
		h := newFakeHost(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, partial)
			<-release
			return false
		})
		defer close(release)
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.send(t, clientRequest("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Error("got no error, want an error at the client")
		}
	})
	t.Run("a client leaves within its response", func(t *testing.T) {
		var ended atomic.Bool
		h := newFakeHost(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeSize))
			_, err := io.Copy(c, &testBody{size: largeSize})
			ended.Store(err != nil)
			return false
		})
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		conn := p.send(t, clientRequest("POST", "a", "once", ""))
		_, _ = io.ReadFull(conn, make([]byte, 10000))
		_ = conn.Close()
		eventually(t, "the host's connection is closed", ended.Load)
		eventually(t, "it is counted", func() bool { return p.counters(t)["withdrawn"] == 1 })
	})
	t.Run("a client leaves within its request body", func(t *testing.T) {
		var complete atomic.Int64
		h := newFakeHost(t, func(net.Conn, *http.Request) bool { complete.Add(1); return false })
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		conn := p.send(t, requestHead("POST", "a", "once", "Content-Length: 300000\r\n")+strings.Repeat("x", 200000))
		eventually(t, "its body is being sent", func() bool { return p.counters(t)["sent"] == 1 })
		_ = conn.Close()
		eventually(t, "it is withdrawn", func() bool { return p.counters(t)["withdrawn"] == 1 })
		eventually(t, "it is counted as not sent", func() bool { return p.counters(t)["outcome_not_sent"] == 1 })
	})
	t.Run("a host resets while it receives a body", func(t *testing.T) {
		bad := newFakeHost(t, nil)
		bad.handleConns(func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 100000))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", bad.Addr().String(), "ready"))
		conn, in := p.dial(t)
		go func() {
			_, _ = io.WriteString(conn, requestHead("POST", "a", "once", fmt.Sprintf("Content-Length: %d\r\n", largeSize)))
			_, _ = io.Copy(conn, &testBody{size: largeSize})
		}()
		// The request was not executed, and it cannot be retried, since its body was not buffered. It is denied, and
		// the rest of the body is read, so that the client sees the response.
		if r, _ := readResponse(t, in); r.StatusCode != 503 {
			t.Errorf("got %d, want 503", r.StatusCode)
		}
		if n := p.counters(t); n["sent"] != 1 {
			t.Errorf("got %d dispatches, want 1", n["sent"])
		}
	})
	t.Run("a host refuses a request before its body has ended", func(t *testing.T) {
		h := newFakeHost(t, nil)
		h.handleConns(func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 70000))
			_, _ = io.WriteString(c, httpResponse(503, "Not-Started: 1\r\n", ""))
		})
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		conn, in := p.dial(t)
		sent := make(chan error)
		go func() {
			_, _ = io.WriteString(conn, requestHead("POST", "a", "once", "Content-Length: 3000000\r\n"))
			_, err := io.Copy(conn, &testBody{size: 3000000})
			sent <- err
		}()
		if r, _ := readResponse(t, in); r.StatusCode != 503 || r.Close {
			t.Errorf("got %d, close %v, want 503 on a connection that stays open", r.StatusCode, r.Close)
		}
		if err := <-sent; err != nil {
			t.Fatalf("the body was not read to its end: %v", err)
		}
		_, _ = io.WriteString(conn, clientRequest("GET", "b", "new", ""))
		if r, _ := readResponse(t, in); r.StatusCode != 400 {
			t.Errorf("got %d for the next request on the connection, want it parsed", r.StatusCode)
		}
	})
	t.Run("SIGTERM within a response", func(t *testing.T) {
		h := newFakeHost(t, func(c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeSize)
			_, _ = io.Copy(c, &testBody{size: largeSize})
			return false
		})
		p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.send(t, clientRequest("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Process.Signal(syscall.SIGTERM)
		if got, want := checksum(t, r.Body), checksum(t, &testBody{size: largeSize}); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("got %v, want exit 0", err)
		}
	})
}

// A request body may take as long as it makes progress. A head has a time limit, and a stalled request gets an error.
func TestSlowClients(t *testing.T) {
	h := newFakeHost(t, replyWith(httpResponse(200, "", "body"), true))
	p := startProxy(t, unreachableAddr, 1024, hostEntry("s-1", h.Addr().String(), "ready"))
	slowly := func(size, step int, wait time.Duration, complete bool) (*http.Response, error) {
		conn, in := p.dial(t)
		out := make(chan bool)
		go func() {
			defer close(out)
			h := requestHead("POST", fmt.Sprint(size), "once", fmt.Sprintf("Content-Length: %d\r\n", size))
			for _, b := range []byte(h) { // byte by byte
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
			}
			if !complete {
				size /= 2
			}
			for left := size; left > 0; left -= step {
				if _, err := conn.Write(bytes.Repeat([]byte("x"), min(step, left))); err != nil {
					return
				}
				time.Sleep(wait)
			}
		}()
		r, err := http.ReadResponse(in, nil)
		<-out
		return r, err
	}
	for name, c := range map[string]struct {
		size, step int
		wait       time.Duration
		complete   bool
		status     int
	}{
		"a buffered body in 4 s":    {60000, 1500, 100 * time.Millisecond, true, 200},
		"a streamed body in 5 s":    {320000, 6400, 100 * time.Millisecond, true, 200},
		"half a body, then nothing": {60000, 30000, 0, false, 408},
		"too slow":                  {300000, 1000, 300 * time.Millisecond, true, 408},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r, err := slowly(c.size, c.step, c.wait, c.complete); err != nil || r.StatusCode != c.status {
				t.Errorf("got %v, %v, want %d", r, err, c.status)
			}
		})
	}
	t.Run("an endless head", func(t *testing.T) {
		t.Parallel()
		conn, in := p.dial(t)
		go func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\n")
			for i := range 100 {
				if _, err := fmt.Fprintf(conn, "A%d: x\r\n", i); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		if r, _ := readResponse(t, in); r.StatusCode != 408 {
			t.Errorf("got %d, want 408", r.StatusCode)
		}
	})
}
