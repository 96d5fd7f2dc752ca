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

const large = 32 << 20

// stuff is a body that is the same in each run and does not repeat within a piece.
type stuff struct{ at, size int }

func (s *stuff) Read(b []byte) (int, error) {
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

func sum(t *testing.T, r io.Reader) string {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	if err != nil {
		t.Fatalf("after %d bytes: %v", n, err)
	}
	return fmt.Sprintf("%d %x", n, h.Sum(nil)[:8])
}

// head is a call's head without a length.
func head(method, id, ruleSet, more string) string {
	return strings.Replace(strings.TrimSuffix(call(method, id, ruleSet, ""), "\r\n"), "Content-Length: 0\r\n", more, 1) + "\r\n"
}

// memory is what the program holds, in MB.
func (p *program) memory(t *testing.T) int {
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

func TestLargeAnswers(t *testing.T) {
	chunked := func(c net.Conn, size int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n")
		b := make([]byte, 50000)
		for s := (&stuff{size: size}); ; {
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
	toEnd := func(c net.Conn, size int) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(c, &stuff{size: size})
	}
	length := func(c net.Conn, size int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.Copy(c, &stuff{size: size})
	}
	want := sum(t, &stuff{size: large})
	for name, c := range map[string]struct {
		form func(net.Conn, int)
		old  bool // an HTTP/1.0 client
		slow bool // the client takes its time at first
	}{
		"length":           {length, false, false},
		"chunked":          {chunked, false, false},
		"to the end":       {toEnd, false, false},
		"chunked to old":   {chunked, true, false},
		"to a slow client": {toEnd, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, func(to net.Conn, _ *http.Request) bool { c.form(to, large); return false })
			p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
			conn, in := p.dial(t)
			_, _ = io.WriteString(conn, map[bool]string{false: call("POST", "a", "once", ""),
				true: strings.Replace(call("POST", "a", "once", ""), "HTTP/1.1", "HTTP/1.0", 1)}[c.old])
			if c.slow {
				_ = conn.(*net.TCPConn).SetReadBuffer(65536)
			}
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.StatusCode != 200 {
				t.Fatalf("got %v, %v", r, err)
			}
			body := io.Reader(r.Body)
			if c.slow { // longer than any client timeout, while a little is taken
				var first bytes.Buffer
				for range 50 {
					_, _ = io.CopyN(&first, r.Body, 6400)
					time.Sleep(100 * time.Millisecond)
				}
				body = io.MultiReader(&first, r.Body)
			}
			if got := sum(t, body); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if m := p.memory(t); m > 64 {
				t.Errorf("got %d MB for one answer of 32", m)
			}
			if n := p.counters(t); n["done"] != 1 || n["streamed"] != 1 {
				t.Errorf("got %v", n)
			}
		})
	}
}

// Many at a time, each way, stay within a bound that one of them alone would break if it were held.
func TestLargeBodies(t *testing.T) {
	want := sum(t, &stuff{size: large / 4})
	h := newHost(t, nil)
	h.each(func(c net.Conn) {
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
		_, _ = io.WriteString(c, text(200, "", fmt.Sprintf("%d %x", n, x.Sum(nil)[:8])))
	})
	p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
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
				_, _ = io.WriteString(c, head("POST", id, "once", fmt.Sprintf("Content-Length: %d\r\n", large/4)))
			case 1:
				_, _ = io.WriteString(c, head("POST", id, "once", "Transfer-Encoding: chunked\r\n"))
			case 2:
				_, _ = io.WriteString(c, head("POST", id, "once", fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", large/4)))
				line, _ := in.ReadString('\n')
				if blank, _ := in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" || blank != "\r\n" {
					done <- "no word to go on: " + line
					return
				}
			}
			b := make([]byte, 70000)
			for s := (&stuff{size: large / 4}); ; {
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
	if m := p.memory(t); m > 80 {
		t.Errorf("got %d MB for %d bodies of 8 at a time", m, many)
	}
}

// What has begun and cannot be finished must show; what was not kept is not sent again, and nothing is held for ever.
func TestHalfWay(t *testing.T) {
	begun := "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 100000)
	t.Run("a host breaks off its answer", func(t *testing.T) {
		h := newHost(t, saying(begun, false))
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.asks(t, call("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Errorf("got %d bytes and no error, want a client that can tell", n)
		}
		eventually(t, "it is counted", func() bool { n := p.counters(t); return n["cut"] == 1 && n["done"] == 0 })
	})
	t.Run("a host stops within its answer", func(t *testing.T) {
		release := make(chan bool)
		h := newHost(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, begun)
			<-release
			return false
		})
		defer close(release)
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.asks(t, call("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Error("got no error, want a client that can tell")
		}
	})
	t.Run("a client leaves within its answer", func(t *testing.T) {
		var ended atomic.Bool
		h := newHost(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", large))
			_, err := io.Copy(c, &stuff{size: large})
			ended.Store(err != nil)
			return false
		})
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		conn := p.asks(t, call("POST", "a", "once", ""))
		_, _ = io.ReadFull(conn, make([]byte, 10000))
		_ = conn.Close()
		eventually(t, "the host is told", ended.Load)
		eventually(t, "it is counted", func() bool { return p.counters(t)["withdrawn"] == 1 })
	})
	t.Run("a client leaves within its body", func(t *testing.T) {
		var whole atomic.Int64
		h := newHost(t, func(net.Conn, *http.Request) bool { whole.Add(1); return false })
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		conn := p.asks(t, head("POST", "a", "once", "Content-Length: 300000\r\n")+strings.Repeat("x", 200000))
		eventually(t, "its body is on its way", func() bool { return p.counters(t)["sent"] == 1 })
		_ = conn.Close()
		eventually(t, "it is withdrawn", func() bool { return p.counters(t)["withdrawn"] == 1 })
		eventually(t, "it never ran", func() bool { return p.counters(t)["outcome_not_sent"] == 1 })
	})
	t.Run("a host breaks off while it is sent a body", func(t *testing.T) {
		bad := newHost(t, nil)
		bad.each(func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 100000))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		p := begin(t, nowhere, 1024, entry("s-1", bad.Addr().String(), "ready"))
		conn, in := p.dial(t)
		go func() {
			_, _ = io.WriteString(conn, head("POST", "a", "once", fmt.Sprintf("Content-Length: %d\r\n", large)))
			_, _ = io.Copy(conn, &stuff{size: large})
		}()
		// It never ran, and cannot go again as it was not kept: denied, and read out, so that the client sees that.
		if r, _ := answer(t, in); r.StatusCode != 503 {
			t.Errorf("got %d, want 503", r.StatusCode)
		}
		if n := p.counters(t); n["sent"] != 1 {
			t.Errorf("got %d dispatches, want 1", n["sent"])
		}
	})
	t.Run("a host turns a body away early", func(t *testing.T) {
		h := newHost(t, nil)
		h.each(func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 70000))
			_, _ = io.WriteString(c, text(503, "Not-Started: 1\r\n", ""))
		})
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		conn, in := p.dial(t)
		sent := make(chan error)
		go func() {
			_, _ = io.WriteString(conn, head("POST", "a", "once", "Content-Length: 3000000\r\n"))
			_, err := io.Copy(conn, &stuff{size: 3000000})
			sent <- err
		}()
		if r, _ := answer(t, in); r.StatusCode != 503 || r.Close {
			t.Errorf("got %d, close %v, want 503 on a connection that stays", r.StatusCode, r.Close)
		}
		if err := <-sent; err != nil {
			t.Fatalf("the body was not read out: %v", err)
		}
		_, _ = io.WriteString(conn, call("GET", "b", "new", ""))
		if r, _ := answer(t, in); r.StatusCode != 400 {
			t.Errorf("got %d for the next call, want it read as one", r.StatusCode)
		}
	})
	t.Run("SIGTERM within an answer", func(t *testing.T) {
		h := newHost(t, func(c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", large)
			_, _ = io.Copy(c, &stuff{size: large})
			return false
		})
		p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
		r, err := http.ReadResponse(bufio.NewReader(p.asks(t, call("POST", "a", "once", ""))), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Process.Signal(syscall.SIGTERM)
		if got, want := sum(t, r.Body), sum(t, &stuff{size: large}); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("got %v, want exit 0", err)
		}
	})
}

// A body is given as long as it gets on; a head has its time, and what stands still gets its error.
func TestSlowClients(t *testing.T) {
	h := newHost(t, saying(text(200, "", "body"), true))
	p := begin(t, nowhere, 1024, entry("s-1", h.Addr().String(), "ready"))
	slowly := func(size, step int, wait time.Duration, whole bool) (*http.Response, error) {
		conn, in := p.dial(t)
		out := make(chan bool)
		go func() {
			defer close(out)
			h := head("POST", fmt.Sprint(size), "once", fmt.Sprintf("Content-Length: %d\r\n", size))
			for _, b := range []byte(h) { // in pieces of a byte
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
			}
			if !whole {
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
		whole      bool
		status     int
	}{
		"a whole one in 4 s": {60000, 1500, 100 * time.Millisecond, true, 200},
		"pieces in 5 s":      {320000, 6400, 100 * time.Millisecond, true, 200},
		"half, then nothing": {60000, 30000, 0, false, 408},
		"a trickle":          {300000, 1000, 300 * time.Millisecond, true, 408},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r, err := slowly(c.size, c.step, c.wait, c.whole); err != nil || r.StatusCode != c.status {
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
		if r, _ := answer(t, in); r.StatusCode != 408 {
			t.Errorf("got %d, want 408", r.StatusCode)
		}
	})
}
