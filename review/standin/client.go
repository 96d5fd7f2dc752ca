//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests to the router over one connection at a time.
type client struct {
	address  string
	conn     net.Conn
	reader   *bufio.Reader
	answered int // requests answered on the connection
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	return nil
}

// result is the outcome of one request as its client saw it.
type result struct {
	status   int
	seal     string
	events   int
	complete bool
	body     string
	duration time.Duration
	err      error
}

func (r result) String() string {
	return fmt.Sprintf("status %d, seal %q, %d events, whole %v, after %.3f s, %v", r.status, r.seal, r.events, r.complete, r.duration.Seconds(), r.err)
}

// request sends one request on the client's connection, which it opens if there is none, and reads the answer.
func (c *client) request(path, id string, header map[string]string, body string) (r result) {
	began := time.Now()
	defer func() { r.duration = time.Since(began) }()
	if c.conn == nil {
		if r.err = c.connect(); r.err != nil {
			return r
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n", path, id)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, r.err = io.WriteString(c.conn, b.String()); r.err != nil {
		c.close()
		return r
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.status, r.seal = answer.StatusCode, answer.Header.Get("Response-Seal")
	text, err := io.ReadAll(answer.Body)
	r.body, r.events, r.err = string(text), strings.Count(string(text), "\n\n"), err
	r.complete = err == nil
	if c.answered++; err != nil || answer.Close {
		c.close()
	}
	return r
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
